package command

import (
	"strings"
	"time"

	"foxtailspoke/internal/standin"
)

const platformHelp = `Serves the platform's API from memory.

Example:
  foxtailspoke-standin platform --listen 127.0.0.1:7000 --control 127.0.0.1:7001

Faults are switched by one call each on the control address; fields that are
left out stay as they are:
  the store is away     curl -d '{"table":{"down":"silent"}}' http://127.0.0.1:7001/control/faults
  ... and is back       curl -d '{"table":{"down":""}}' http://127.0.0.1:7001/control/faults
  slow                  {"table":{"delay":"300ms"}}
  answers lost          {"table":{"loseAnswers":3}} or {"table":{"loseAnswersRatio":0.2}}
  writes lost           {"table":{"loseWrites":1}}
  reads from a copy     {"table":{"oldCopy":true}}
  the list lags         {"instances":{"lag":"2s"}} or {"instances":{"frozen":true}}
"down" is "closed", "silent" or "error". "objects" and "instances" have the
same fields as "table" but for oldCopy.
  all faults end        curl -X DELETE http://127.0.0.1:7001/control/faults
  what is on            curl http://127.0.0.1:7001/control/faults
  what was asked        curl http://127.0.0.1:7001/control/counts
  table revisions       curl http://127.0.0.1:7001/control/revisions`

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
		EndAfter: c.EndAfter,
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
