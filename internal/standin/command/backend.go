package command

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailspoke/config"
	"foxtailspoke/internal/standin"
	"foxtailspoke/storage/client"
)

const backendHelp = `Serves requests as a backend server of a service and announces itself in the
platform's instance registry. After SIGTERM it refuses requests as not-run for
--linger, then waits up to --stop-timeout for running requests and exits.

Example:
foxtailspoke-standin backend --service catalogue --data-centre a \
--platform http://127.0.0.1:7000 --control 127.0.0.1:7101

Faults are set over HTTP on the control address; fields that are left out keep
their values. With F=http://127.0.0.1:7101/control/faults:
curl -d '{"factor":20}' $F -- process requests slowly
curl -X DELETE $F -- clear all faults
curl $F -- show the current faults

Faults:
{"factor":20} or {"delay":"500ms"} -- slow processing
{"halfRatio":0.3} -- truncated responses, then the connection is closed
{"stallRatio":0.3} -- truncated responses, the connection stays open
{"errorRatio":0.5} -- status 500; "errorWorkspace" limits it to one workspace
{"hangRatio":0.1} -- no responses
{"crossedRatio":0.1} -- responses of other requests
{"noEchoRatio":0.1} -- responses without attempt ID
{"lateRatio":0.1,"lateBy":"2s"} -- delayed responses, ignoring the timeout
{"duplicateRatio":0.1} -- responses sent twice
{"endlessRatio":0.1} -- headers without end
{"fatalPath":"/fatal/"} -- requests whose path begins so end the process
{"flapPeriod":"5s"} -- turns all of the above off and on periodically
{"health":"ok"} or {"health":"bad"} -- fixed health report
{"reportLag":"3s"}, {"hideLoad":true} -- outdated reports, no load reported
{"refuse":true} -- new connections are refused
{"stopReading":true} -- nothing is read from connections

Other requests:
POST /control/drain -- drain as after SIGTERM, but keep running
GET /control/executions -- executed requests in order of their start
GET /control/raw -- headers of the latest requests as received
POST /control/secrets -- search received bytes for keys: ["fsk_1","fsk_2"]
GET /control/secrets -- keys that were found`

type backendCommand struct {
	env *environment

	Listen        string        `long:"listen" default:"127.0.0.1:0" description:"address to serve requests on"`
	Control       string        `long:"control" default:"127.0.0.1:0" description:"address of the control endpoint"`
	Advertise     string        `long:"advertise" description:"address to announce, if it differs from the listen address"`
	AddressFile   string        `long:"address-file" description:"file to write the listener addresses to, one JSON object per line"`
	Service       string        `long:"service" required:"yes" description:"service that the server belongs to"`
	DataCentre    string        `long:"data-centre" description:"data centre that the server is in"`
	Region        string        `long:"region" description:"region that the server is in"`
	Slots         int           `long:"slots" default:"2" description:"number of requests processed concurrently"`
	Queue         int           `long:"queue" default:"0" description:"number of requests that may wait for a slot; 0 means as many as slots"`
	Platform      string        `long:"platform" description:"URL of the platform; if empty, the server is not announced"`
	AnnounceEvery time.Duration `long:"announce-every" default:"2s" description:"interval between announcements"`
	Latency       time.Duration `long:"latency" default:"5ms" description:"processing time of a request"`
	ColdFor       time.Duration `long:"cold-for" default:"0s" description:"time after the start during which processing is slower"`
	ColdRequests  int           `long:"cold-requests" default:"0" description:"number of initial requests that are processed more slowly"`
	ColdFactor    float64       `long:"cold-factor" default:"10" description:"latency multiplier while processing is slower"`
	Linger        time.Duration `long:"linger" default:"3s" description:"time after SIGTERM during which requests are refused as not-run"`
	StopTimeout   time.Duration `long:"stop-timeout" default:"10s" description:"maximum wait for running requests after the linger time"`
	Seed          uint64        `long:"seed" default:"1" description:"seed of the random faults"`
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
	err = reportListeners(c.env.stdout, c.AddressFile, []listener{
		{"backend", b.Address()},
		{"control", hostPort(b.ControlURL())},
	})
	if err != nil {
		return err
	}
	select {
	case <-b.Ended():
		return errors.New("ended under a request, as fatalPath says")
	case <-c.env.ctx.Done():
	}
	c.shutdown(b)
	return nil
}

func (c *backendCommand) shutdown(b *standin.Backend) {
	b.Drain()
	time.Sleep(c.Linger)
	ctx, cancel := context.WithTimeout(context.Background(), c.StopTimeout)
	defer cancel()
	b.Shutdown(ctx)
}

func (c *backendCommand) options() (standin.BackendOptions, func(), error) {
	o := standin.BackendOptions{
		ListenAddress:     c.Listen,
		ControlAddress:    c.Control,
		AdvertiseAddress:  c.Advertise,
		Service:           c.Service,
		DataCentre:        c.DataCentre,
		Region:            c.Region,
		Slots:             c.Slots,
		QueueSize:         c.Queue,
		Latency:           c.Latency,
		ColdStartDuration: c.ColdFor,
		ColdStartRequests: c.ColdRequests,
		ColdStartFactor:   c.ColdFactor,
		AnnounceInterval:  c.AnnounceEvery,
		Seed:              c.Seed,
		Log:               c.env.log,
	}
	if c.Platform == "" {
		return o, func() {}, nil
	}
	platform, err := client.New(c.Platform, client.Settings{})
	if err != nil {
		return o, nil, err
	}
	o.Instances = platform
	return o, platform.Close, nil
}

func toConfigDuration(d time.Duration) config.Duration { return config.Duration(d) }
