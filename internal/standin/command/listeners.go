package command

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"
)

// listener is an address that a command listens on.
type listener struct {
	Name    string `json:"what"`
	Address string `json:"address"`
}

// reportListeners prints the listeners for use by scripts and, unless file is
// empty, also writes them to file. The file is replaced atomically so that
// readers never see a part of it.
func reportListeners(stdout io.Writer, file string, listeners []listener) error {
	if file != "" {
		if err := writeAddressFile(file, listeners); err != nil {
			return err
		}
	}
	for _, l := range listeners {
		if _, err := fmt.Fprintf(stdout, "listening %s %s\n", l.Name, l.Address); err != nil {
			return errors.Wrap(err, "print listener addresses")
		}
	}
	return nil
}

func writeAddressFile(file string, listeners []listener) error {
	var content bytes.Buffer
	encoder := json.NewEncoder(&content)
	for _, l := range listeners {
		if err := encoder.Encode(l); err != nil {
			return errors.Wrap(err, "write address file")
		}
	}
	tempFile := file + ".new"
	if err := os.WriteFile(tempFile, content.Bytes(), 0o644); err != nil {
		return errors.Wrap(err, "write address file")
	}
	return errors.Wrap(os.Rename(tempFile, file), "write address file")
}
