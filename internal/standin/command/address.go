package command

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"
)

// listener is one address that a stand-in listens on.
type listener struct {
	What    string `json:"what"`
	Address string `json:"address"`
}

// announce prints the listeners for scripts, and writes them to a file if
// one is named. The file appears whole or not at all.
func announce(stdout io.Writer, file string, listeners []listener) error {
	if file != "" {
		if err := writeAddressFile(file, listeners); err != nil {
			return err
		}
	}
	for _, l := range listeners {
		if _, err := fmt.Fprintf(stdout, "listening %s %s\n", l.What, l.Address); err != nil {
			return errors.Wrap(err, "print the addresses")
		}
	}
	return nil
}

func writeAddressFile(file string, listeners []listener) error {
	var lines bytes.Buffer
	encoder := json.NewEncoder(&lines)
	for _, l := range listeners {
		if err := encoder.Encode(l); err != nil {
			return errors.Wrap(err, "address file")
		}
	}
	temporary := file + ".new"
	if err := os.WriteFile(temporary, lines.Bytes(), 0o644); err != nil {
		return errors.Wrap(err, "address file")
	}
	return errors.Wrap(os.Rename(temporary, file), "address file")
}
