// Command lentilpin-load is an open-loop load generator. It sends requests at a
// given rate, to loopback addresses only, and checks each response.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/integrii/flaggy"

	"lentilpin/pkg/buildinfo"
	"lentilpin/pkg/load"
)

type flags struct {
	options               load.Options
	durationMS, timeoutMS int
	mix, verifyAddress    string
	json                  bool
}

func main() {
	f := flags{options: load.Defaults(), mix: "9:1"}
	o := &f.options
	f.durationMS, f.timeoutMS = int(o.Duration.Milliseconds()), int(o.Timeout.Milliseconds())
	flaggy.SetName("lentilpin-load")
	flaggy.SetDescription("load generator: open loop at a given rate, to loopback addresses only; checks each response")
	flaggy.SetVersion(buildinfo.Version)
	flaggy.StringSlice(&o.Targets, "t", "target", "caller address of an entry; may be repeated")
	flaggy.StringSlice(&o.Direct, "d", "direct", "backend server that gets every second read directly, for comparison; may be repeated")
	flaggy.Float64(&o.Rate, "r", "rate", "requests per second over all targets")
	flaggy.Int(&f.durationMS, "", "duration-ms", "length of the run")
	flaggy.String(&f.mix, "m", "mix", "shares of reads and orders")
	flaggy.Float64(&o.ResendRatio, "", "resend", "share of orders that are sent again with the same key, 0 to 1")
	flaggy.String(&o.ReadPath, "", "read-path", "path of reads; a token is appended")
	flaggy.String(&o.OrderPath, "", "order-path", "path of orders; a token is appended")
	flaggy.Int(&f.timeoutMS, "", "timeout-ms", "time that a caller waits for a response")
	flaggy.Int(&o.Inflight, "", "inflight", "most requests at one time; more are not sent")
	flaggy.UInt64(&o.Seed, "", "seed", "seed of times and mix")
	flaggy.String(&f.verifyAddress, "", "verify", "admin address of the backend stand-ins; compares the runs of each order afterwards")
	flaggy.Bool(&f.json, "j", "json", "print JSON")
	flaggy.Parse()
	os.Exit(f.run())
}

// run generates the load, prints the result and returns the exit code.
func (f *flags) run() int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	o := &f.options
	o.Duration, o.Timeout = time.Duration(f.durationMS)*time.Millisecond, time.Duration(f.timeoutMS)*time.Millisecond
	var err error
	if o.Reads, o.Orders, err = parseMix(f.mix); err != nil {
		return printError(err, buildinfo.ExitUsage)
	}
	result, err := load.Run(ctx, *o)
	if err != nil {
		return printError(err, buildinfo.ExitUsage)
	}
	if f.verifyAddress != "" {
		if err := result.Verify(context.WithoutCancel(ctx), f.verifyAddress); err != nil {
			return printError(err, buildinfo.ExitFailure)
		}
	}
	if f.json {
		encoder := json.NewEncoder(os.Stdout)
		encoder.SetIndent("", "  ")
		err = encoder.Encode(result)
	} else {
		result.Print(os.Stdout)
	}
	if err != nil {
		return printError(err, buildinfo.ExitFailure)
	}
	if result.HasViolations() {
		return printError(errors.New("a response was not the caller's own, not whole, or a statement about an order was wrong"), buildinfo.ExitFailure)
	}
	return buildinfo.ExitOK
}

func printError(err error, code int) int {
	fmt.Fprintln(os.Stderr, "lentilpin-load:", err)
	return code
}

// parseMix parses the shares of reads and orders, for example 9:1.
func parseMix(text string) (reads, orders int, err error) {
	a, b, ok := strings.Cut(text, ":")
	if ok {
		if reads, err = strconv.Atoi(a); err == nil {
			orders, err = strconv.Atoi(b)
		}
	}
	if !ok || err != nil {
		return 0, 0, errors.Errorf("mix %q: want READS:ORDERS, for example 9:1", text)
	}
	return reads, orders, nil
}
