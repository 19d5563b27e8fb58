package command

import (
	"bytes"
	"encoding/json"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/tailscale/hujson"

	"foxtailspoke/internal/standin"
)

const linkHelp = `Relays TCP connections. Each direction can be cut, delayed and restored. While
a direction is cut, its data is held back and neither side is notified.

Example:
foxtailspoke-standin link --listen 127.0.0.1:7200 --to 127.0.0.1:7000 \
--control 127.0.0.1:7201

With L=http://127.0.0.1:7201/control/links:
curl -d '{"forward":"open","backward":"cut"}' $L/link -- cut one direction
curl -d '{"forwardDelay":"20ms","backwardDelay":"5ms"}' $L/link -- delay
curl -X DELETE $L/link -- restore
curl $L -- show all links

Several links are defined in a file, in JSON with comments, that --links names
in place of --listen and --to. One request can change several of them:
[{"name": "a-b", "listen": "127.0.0.1:7210", "to": "127.0.0.1:7310"}]
curl -d '{"a-b":{"forward":"cut"},"b-a":{}}' $L`

type linkCommand struct {
	env *environment

	Name        string `long:"name" default:"link" description:"name of the link, if --links is not given"`
	Listen      string `long:"listen" default:"127.0.0.1:0" description:"address to accept connections on"`
	To          string `long:"to" description:"address to relay connections to"`
	Links       string `long:"links" description:"file that defines several links"`
	Control     string `long:"control" default:"127.0.0.1:0" description:"address of the control endpoint"`
	AddressFile string `long:"address-file" description:"file to write the listener addresses to, one JSON object per line"`
}

// Execute implements flags.Commander.
func (c *linkCommand) Execute([]string) error {
	options, err := c.options()
	if err != nil {
		return err
	}
	links, err := standin.StartLinks(c.Control, options, c.env.log)
	if err != nil {
		return err
	}
	defer links.Close()
	listeners := []listener{{"control", hostPort(links.ControlURL())}}
	for _, o := range options {
		listeners = append(listeners, listener{o.Name, links.Link(o.Name).Address()})
	}
	if err := reportListeners(c.env.stdout, c.AddressFile, listeners); err != nil {
		return err
	}
	<-c.env.ctx.Done()
	return nil
}

func (c *linkCommand) options() ([]standin.LinkOptions, error) {
	if c.Links == "" {
		return []standin.LinkOptions{{Name: c.Name, ListenAddress: c.Listen, Target: c.To}}, nil
	}
	text, err := os.ReadFile(c.Links)
	if err != nil {
		return nil, errors.Wrap(err, "read links file")
	}
	options, err := parseLinks(text)
	return options, errors.Wrapf(err, "parse links file %s", c.Links)
}

// parseLinks parses the content of a links file, which is JSON with comments.
func parseLinks(text []byte) ([]standin.LinkOptions, error) {
	standard, err := hujson.Standardize(text)
	if err != nil {
		return nil, err
	}
	var options []standin.LinkOptions
	decoder := json.NewDecoder(bytes.NewReader(standard))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&options); err != nil {
		return nil, err
	}
	if len(options) == 0 {
		return nil, errors.New("no links defined")
	}
	return options, nil
}
