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

One call each on the control address switches a fault; fields that are left
out stay as they are. With F=http://127.0.0.1:7001/control/faults:
curl -d '{"table":{"down":"silent"}}' $F -- the store is away
curl -d '{"table":{"down":""}}' $F -- and is back
curl -X DELETE $F -- all faults end
curl $F -- shows what is on

Faults of the three services "table", "objects" and "instances":
{"table":{"down":"closed"}} -- or "silent" or "error"
{"table":{"delay":"300ms"}} -- slow; writes take effect all the same
{"table":{"loseAnswers":3}} -- of the next writes, after their effect
{"table":{"loseAnswersRatio":0.2}} -- the same for a share of writes
{"table":{"loseWrites":1}} -- lost before their effect
{"table":{"maxReads":2000,"maxWrites":300}} -- limits a second
and of one of them:
{"table":{"oldCopy":true}} -- reads come from a copy made now
{"instances":{"lag":"2s"}} -- the list is late
{"instances":{"frozen":true}} -- the list shows nothing new

GET /control/counts shows what was asked, GET /control/revisions the tables'
revisions.`

type platformCommand struct {
	program *program

	Listen      string        `long:"listen" default:"127.0.0.1:0" description:"address of the API"`
	Control     string        `long:"control" default:"127.0.0.1:0" description:"address of the fault switches"`
	AddressFile string        `long:"address-file" description:"file to write the addresses to, a JSON object a line"`
	EndAfter    time.Duration `long:"end-after" default:"15s" description:"silence after which an instance is shown as ended; 0 for never"`
	Lag         time.Duration `long:"lag" default:"0s" description:"how late the list of instances shows a change"`
	Seed        uint64        `long:"seed" default:"1" description:"seed of the random faults"`
}

// Execute implements flags.Commander.
func (c *platformCommand) Execute([]string) error {
	o := standin.PlatformOptions{
		Listen:   c.Listen,
		Control:  c.Control,
		InstanceTimeout: c.EndAfter,
		Seed:     c.Seed,
		Log:      c.program.log,
	}
	o.Faults.Instances.Lag = durationOf(c.Lag)
	p, err := standin.StartPlatform(o)
	if err != nil {
		return err
	}
	defer p.Close()
	err = announce(c.program.stdout, c.AddressFile, []listener{
		{"platform", p.Address()},
		{"control", hostOf(p.ControlURL())},
	})
	if err != nil {
		return err
	}
	<-c.program.ctx.Done()
	return nil
}

func hostOf(url string) string { return strings.TrimPrefix(url, "http://") }
