package command

import (
	"strings"
	"time"

	"foxtailspoke/internal/standin"
)

const platformHelp = `Serves the platform's API from memory.

Example:
foxtailspoke-standin platform --listen 127.0.0.1:7000 \
--control 127.0.0.1:7001

Faults are set over HTTP on the control address; fields that are left out keep
their values. With F=http://127.0.0.1:7001/control/faults:
curl -d '{"table":{"down":"silent"}}' $F -- table store does not respond
curl -d '{"table":{"down":""}}' $F -- table store is available again
curl -X DELETE $F -- clear all faults
curl $F -- show the current faults

Faults of each of the services "table", "objects" and "instances":
{"table":{"down":"closed"}} -- unavailable: "closed", "silent" or "error"
{"table":{"delay":"300ms"}} -- slow; writes are applied even after a disconnect
{"table":{"loseAnswers":3}} -- apply the next writes, lose their responses
{"table":{"loseAnswersRatio":0.2}} -- the same for a share of writes
{"table":{"loseWrites":1}} -- lose the next writes before they take effect
{"table":{"maxReads":2000,"maxWrites":300}} -- rate limits per second
Faults of a single service:
{"table":{"oldCopy":true}} -- serve reads from a copy made at this moment
{"instances":{"lag":"2s"}} -- delay the visibility of changes
{"instances":{"frozen":true}} -- make no further changes visible

GET /control/counts shows the request counts, GET /control/revisions the
revisions of the tables.`

type platformCommand struct {
	env *environment

	Listen      string        `long:"listen" default:"127.0.0.1:0" description:"address to serve the API on"`
	Control     string        `long:"control" default:"127.0.0.1:0" description:"address of the control endpoint"`
	AddressFile string        `long:"address-file" description:"file to write the listener addresses to, one JSON object per line"`
	EndAfter    time.Duration `long:"end-after" default:"15s" description:"time without announcements after which an instance is registered as ended; 0 disables it"`
	Lag         time.Duration `long:"lag" default:"0s" description:"delay until a change of an instance becomes visible"`
	Seed        uint64        `long:"seed" default:"1" description:"seed of the random faults"`
}

// Execute implements flags.Commander.
func (c *platformCommand) Execute([]string) error {
	o := standin.PlatformOptions{
		ListenAddress:   c.Listen,
		ControlAddress:  c.Control,
		InstanceTimeout: c.EndAfter,
		Seed:            c.Seed,
		Log:             c.env.log,
	}
	o.Faults.Instances.Lag = toConfigDuration(c.Lag)
	p, err := standin.StartPlatform(o)
	if err != nil {
		return err
	}
	defer p.Close()
	err = reportListeners(c.env.stdout, c.AddressFile, []listener{
		{"platform", p.Address()},
		{"control", hostPort(p.ControlURL())},
	})
	if err != nil {
		return err
	}
	<-c.env.ctx.Done()
	return nil
}

func hostPort(url string) string { return strings.TrimPrefix(url, "http://") }
