package edgecommand

import (
	"encoding/json"
	"io"
	"os"

	"github.com/cockroachdb/errors"

	"foxtailspoke/logreport"
)

// explainCommand prints a report on the logs of any number of instances.
type explainCommand struct {
	JSON bool `long:"json" description:"write the report as JSON"`
	Args struct {
		Logs []string `positional-arg-name:"LOG" description:"log files; reads standard input if none is given or for -"`
	} `positional-args:"yes"`
}

func (c explainCommand) run(stdin io.Reader, stdout io.Writer) error {
	logs := c.Args.Logs
	if len(logs) == 0 {
		logs = []string{"-"}
	}
	var lines logreport.Lines
	for _, name := range logs {
		if err := readLog(&lines, name, stdin); err != nil {
			return err
		}
	}
	r := lines.Report()
	if r.All == (logreport.Count{}) {
		return errors.New("no line of these logs tells of a request's end")
	}
	if c.JSON {
		e := json.NewEncoder(stdout)
		e.SetIndent("", "  ")
		return errors.Wrap(e.Encode(r), "report")
	}
	return r.WriteText(stdout)
}

func readLog(lines *logreport.Lines, name string, stdin io.Reader) error {
	if name == "-" {
		return lines.Read(stdin)
	}
	f, err := os.Open(name)
	if err != nil {
		return errors.Wrap(err, "log")
	}
	defer func() { _ = f.Close() }()
	return errors.Wrap(lines.Read(f), name)
}
