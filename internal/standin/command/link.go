package command

import (
	"bytes"
	"encoding/json"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/tailscale/hujson"

	"foxtailspoke/internal/standin"
)

const linkHelp = `Relays TCP connections. Either direction can be cut, delayed and restored.
A cut holds the bytes; neither side is told.

Example:
foxtailspoke-standin link --listen 127.0.0.1:7200 --to 127.0.0.1:7000 \
--control 127.0.0.1:7201

With L=http://127.0.0.1:7201/control/links:
curl -d '{"forward":"open","backward":"cut"}' $L/link -- cut one way
curl -d '{"forwardDelay":"20ms","backwardDelay":"5ms"}' $L/link -- delay
curl -X DELETE $L/link -- restore
curl $L -- shows all links

Several links take a file, in JSON with comments, in place of --listen and
--to, and one call can switch several of them:
[{"name": "a-b", "listen": "127.0.0.1:7210", "to": "127.0.0.1:7310"}]
curl -d '{"a-b":{"forward":"cut"},"b-a":{}}' $L`

type linkCommand struct {
	program *program

	Name        string `long:"name" default:"link" description:"name of the one link"`
	Listen      string `long:"listen" default:"127.0.0.1:0" description:"address that takes the connections"`
	To          string `long:"to" description:"address that they go to"`
	Links       string `long:"links" description:"file with several links"`
	Control     string `long:"control" default:"127.0.0.1:0" description:"address of the switches"`
	AddressFile string `long:"address-file" description:"file to write the addresses to, a JSON object a line"`
}

// Execute implements flags.Commander.
func (c *linkCommand) Execute([]string) error {
	options, err := c.options()
	if err != nil {
		return err
	}
	links, err := standin.StartLinks(c.Control, options, c.program.log)
	if err != nil {
		return err
	}
	defer links.Close()
	listeners := []listener{{"control", hostOf(links.ControlURL())}}
	for _, o := range options {
		listeners = append(listeners, listener{o.Name, links.Link(o.Name).Address()})
	}
	if err := announce(c.program.stdout, c.AddressFile, listeners); err != nil {
		return err
	}
	<-c.program.ctx.Done()
	return nil
}

func (c *linkCommand) options() ([]standin.LinkOptions, error) {
	if c.Links == "" {
		return []standin.LinkOptions{{Name: c.Name, Listen: c.Listen, Target: c.To}}, nil
	}
	text, err := os.ReadFile(c.Links)
	if err != nil {
		return nil, errors.Wrap(err, "links")
	}
	options, err := parseLinks(text)
	return options, errors.Wrapf(err, "links %s", c.Links)
}

// parseLinks reads a file of links: JSON with comments.
func parseLinks(text []byte) ([]standin.LinkOptions, error) {
	plain, err := hujson.Standardize(text)
	if err != nil {
		return nil, err
	}
	var options []standin.LinkOptions
	decoder := json.NewDecoder(bytes.NewReader(plain))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&options); err != nil {
		return nil, err
	}
	if len(options) == 0 {
		return nil, errors.New("no links")
	}
	return options, nil
}
