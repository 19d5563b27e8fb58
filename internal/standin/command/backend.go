package command

import (
	"context"
	"time"

	"foxtailspoke/config"
	"foxtailspoke/internal/standin"
	"foxtailspoke/storage/client"
)

const backendHelp = `Serves requests as a backend server of a service, and announces itself in
the platform's list. SIGTERM drains, waits for --linger and for the work
under way, and ends.

Example:
foxtailspoke-standin backend --service catalogue --data-centre a \
--platform http://127.0.0.1:7000 --control 127.0.0.1:7101

One call each on the control address switches a fault; fields that are left
out stay as they are. With F=http://127.0.0.1:7101/control/faults:
curl -d '{"factor":20}' $F -- slow
curl -X DELETE $F -- all faults end
curl $F -- shows what is on

Faults:
{"factor":20} or {"delay":"500ms"} -- slow
{"halfRatio":0.3} -- half answers, then the connection is closed
{"stallRatio":0.3} -- half answers, then nothing
{"errorRatio":0.5} -- errors; with "errorWorkspace" for that one only
{"hangRatio":0.1} -- no answers
{"crossedRatio":0.1} -- another request's answer
{"noEchoRatio":0.1} -- no attempt id in the answer
{"lateRatio":0.1,"lateBy":"2s"} -- answers after their time
{"duplicateRatio":0.1} -- answers sent twice
{"flapPeriod":"5s"} -- all of the above come and go
{"health":"ok"} or {"health":"bad"} -- claims that, whatever is the case
{"reportLag":"3s"}, {"hideLoad":true} -- old reports, no load reported
{"refuse":true} -- no new connections
{"stopReading":true} -- reads nothing

Further calls:
POST /control/drain -- planned stop, without the end
GET /control/executions -- what was run, in order
GET /control/raw -- the latest requests' headers as received
POST /control/secrets -- look for keys in all bytes: ["fsk_1","fsk_2"]
GET /control/secrets -- those that were seen`

type backendCommand struct {
	program *program

	Listen       string        `long:"listen" default:"127.0.0.1:0" description:"address of the service"`
	Control      string        `long:"control" default:"127.0.0.1:0" description:"address of the fault switches"`
	Advertise    string        `long:"advertise" description:"address to announce, if another than the one listened on"`
	AddressFile  string        `long:"address-file" description:"file to write the addresses to, a JSON object a line"`
	Service      string        `long:"service" required:"yes" description:"service that it belongs to"`
	DataCentre   string        `long:"data-centre" description:"data centre that it is in"`
	Region       string        `long:"region" description:"region that it is in"`
	Slots        int           `long:"slots" default:"2" description:"requests worked on at the same time"`
	Queue        int           `long:"queue" default:"0" description:"requests that may wait; 0 for as many as slots"`
	Platform     string        `long:"platform" description:"URL of the platform; none to stay off the list"`
	Every        time.Duration `long:"announce-every" default:"2s" description:"time between announcements"`
	Latency      time.Duration `long:"latency" default:"5ms" description:"time that work takes"`
	ColdFor      time.Duration `long:"cold-for" default:"0s" description:"time after the start that work takes longer"`
	ColdRequests int           `long:"cold-requests" default:"0" description:"first requests whose work takes longer"`
	ColdFactor   float64       `long:"cold-factor" default:"10" description:"how many times longer"`
	Linger       time.Duration `long:"linger" default:"3s" description:"time to answer not-run for after SIGTERM"`
	Stop         time.Duration `long:"stop-timeout" default:"10s" description:"bound on the wait for work under way after that"`
	Seed         uint64        `long:"seed" default:"1" description:"seed of the random faults"`
}

// Execute implements flags.Commander.
func (c *backendCommand) Execute([]string) error {
	o, closeClient, err := c.options()
	if err != nil {
		return err
	}
	defer closeClient()
	b, err := standin.StartBackend(o)
	if err != nil {
		return err
	}
	defer b.Close()
	err = announce(c.program.stdout, c.AddressFile, []listener{
		{"backend", b.Address()},
		{"control", hostOf(b.ControlURL())},
	})
	if err != nil {
		return err
	}
	<-c.program.ctx.Done()
	c.stop(b)
	return nil
}

func (c *backendCommand) stop(b *standin.Backend) {
	b.Drain()
	time.Sleep(c.Linger)
	ctx, cancel := context.WithTimeout(context.Background(), c.Stop)
	defer cancel()
	b.Shutdown(ctx)
}

func (c *backendCommand) options() (standin.BackendOptions, func(), error) {
	o := standin.BackendOptions{
		Listen:        c.Listen,
		Control:       c.Control,
		Advertise:     c.Advertise,
		Service:       c.Service,
		DataCentre:    c.DataCentre,
		Region:        c.Region,
		Slots:         c.Slots,
		Queue:         c.Queue,
		Latency:       c.Latency,
		ColdStartDuration:       c.ColdFor,
		ColdStartRequests:  c.ColdRequests,
		ColdStartFactor:    c.ColdFactor,
		AnnounceInterval: c.Every,
		Seed:          c.Seed,
		Log:           c.program.log,
	}
	if c.Platform == "" {
		return o, func() {}, nil
	}
	p, err := client.New(c.Platform, client.Settings{})
	if err != nil {
		return o, nil, err
	}
	o.Instances = p
	return o, p.Close, nil
}

func durationOf(d time.Duration) config.Duration { return config.Duration(d) }
