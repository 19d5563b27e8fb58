package cli

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
)

const getHelp = `Shows the two lists in force, or writes them to customers.json and plans.json in
a directory. Comments in the applied files aren't preserved.

Examples:
$ foxtailspoke get
$ foxtailspoke get --dir lists      (then edit, and apply with --made-from)
$ foxtailspoke get --output json | jq .version`

type getCommand struct {
	app *app
	Dir string `long:"dir" value-name:"DIR" description:"Write the files into this directory"`
}

// Execute implements flags.Commander.
func (c *getCommand) Execute([]string) error {
	conn, err := c.app.connect()
	if err != nil {
		return err
	}
	defer conn.platform.Close()
	ctx, cancel := c.app.withTimeout()
	defer cancel()
	s, err := conn.operator.Current(ctx)
	if err != nil {
		return err
	}
	customers, plans, err := s.Lists.Render()
	if err != nil {
		return err
	}
	if c.app.json() {
		return c.app.printJSON(struct {
			Version   uint64          `json:"version"`
			Digest    string          `json:"digest"`
			Customers json.RawMessage `json:"customers"`
			Plans     json.RawMessage `json:"plans"`
		}{s.Version, s.Digest, customers, plans})
	}
	header := fmt.Sprintf("// Version %d in force. Apply changes with --made-from %d.\n", s.Version, s.Version)
	if c.Dir == "" {
		c.app.printf("%s// The customers' list.\n%s// The plans' list.\n%s", header, customers, plans)
		return nil
	}
	return c.write(header, customers, plans)
}

func (c *getCommand) write(header string, customers, plans []byte) error {
	for name, data := range map[string][]byte{"customers.json": customers, "plans.json": plans} {
		path := filepath.Join(c.Dir, name)
		if err := os.WriteFile(path, append([]byte(header), data...), 0o644); err != nil {
			return errors.Wrap(err, "write list")
		}
		c.app.printf("%s\n", path)
	}
	return nil
}
