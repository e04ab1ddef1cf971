// Command standin-caller is a stand-in for the callers of the demo. It sends a
// read through each entry, sends one order, sends the same order again through
// another entry, and prints the responses.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/integrii/flaggy"

	"lentilpin/pkg/buildinfo"
)

const (
	callTimeout       = 5 * time.Second
	readyTimeout      = 15 * time.Second
	readyPollInterval = 50 * time.Millisecond
	maxShownBody      = 120 // bytes
)

func main() {
	entries := "127.0.0.1:7210,127.0.0.1:7220,127.0.0.1:7230"
	var readyAddresses, runsAddress string
	var expectOrders int
	order := "order-1"
	flaggy.SetName("standin-caller")
	flaggy.SetDescription("callers of the demo: reads, one order, the same order again through another entry")
	flaggy.SetVersion(buildinfo.Version)
	flaggy.String(&entries, "", "entries", "addresses of the entries' caller listeners, separated by commas")
	flaggy.String(&readyAddresses, "", "wait-ready", "only wait until these operator addresses are ready")
	flaggy.String(&order, "", "order", "name of the order")
	flaggy.String(&runsAddress, "", "runs", "only show the runs of each order, from this admin address of the backend servers")
	flaggy.Int(&expectOrders, "", "expect-orders", "with --runs: fail unless so many orders ran, each once")
	flaggy.Parse()
	ctx, cancel := context.WithTimeout(context.Background(), 2*readyTimeout)
	defer cancel()

	var err error
	switch {
	case readyAddresses != "":
		err = waitUntilReady(ctx, strings.Split(readyAddresses, ","))
	case runsAddress != "":
		err = showRuns(ctx, runsAddress, expectOrders)
	default:
		err = runDemo(ctx, strings.Split(entries, ","), order)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin-caller:", err)
		os.Exit(buildinfo.ExitFailure)
	}
}

// waitUntilReady waits until the entries at the operator addresses are ready.
func waitUntilReady(ctx context.Context, operators []string) error {
	deadline := time.Now().Add(readyTimeout)
	for _, address := range operators {
		for {
			resp, err := send(ctx, http.MethodGet, "http://"+address+"/readyz", "", "")
			if err == nil && resp.status == http.StatusOK {
				break
			}
			if time.Now().After(deadline) {
				return errors.Errorf("%s is not ready after %s", address, readyTimeout)
			}
			time.Sleep(readyPollInterval)
		}
	}
	return nil
}

// runDemo sends a read through each entry and then the order through the first
// and the last entry, both times with the key of the last read.
func runDemo(ctx context.Context, entries []string, order string) error {
	var key string
	for i, entry := range entries {
		resp, err := send(ctx, http.MethodGet, fmt.Sprintf("http://%s/varasto/items/%d", entry, i+1), "", "")
		if err != nil {
			return errors.Wrap(err, "read")
		}
		resp.print(fmt.Sprintf("read through %s", entry))
		key = resp.header.Get("Lentilpin-Key")
	}
	first, second := entries[0], entries[len(entries)-1]
	body := `{"order":"` + order + `","pallets":1}`
	for _, entry := range []string{first, second} {
		resp, err := send(ctx, http.MethodPost, "http://"+entry+"/tilaus/orders/"+order, key, body)
		if err != nil {
			return errors.Wrap(err, "order")
		}
		resp.print(fmt.Sprintf("%s through %s", order, entry))
		fmt.Println("request-id", resp.header.Get("Lentilpin-Request-Id"))
	}
	return nil
}

// showRuns prints the runs of each order and returns an error unless exactly the
// expected number of orders ran, each once.
func showRuns(ctx context.Context, adminAddress string, expected int) error {
	resp, err := send(ctx, http.MethodGet, "http://"+adminAddress+"/runs", "", "")
	if err != nil {
		return err
	}
	fmt.Println(strings.TrimSpace(string(resp.body)))
	var summary struct {
		Orders   int            `json:"orders"`
		Repeated map[string]int `json:"repeated"`
	}
	if err := json.Unmarshal(resp.body, &summary); err != nil {
		return errors.Wrap(err, "parse runs")
	}
	if summary.Orders != expected || len(summary.Repeated) > 0 {
		return errors.Errorf("expected %d orders that ran once each", expected)
	}
	return nil
}

type response struct {
	status int
	header http.Header
	body   []byte
}

// print prints the response after label, with at most maxShownBody bytes of the
// first line of the body.
func (r *response) print(label string) {
	body, _, _ := bytes.Cut(r.body, []byte("\n"))
	if len(body) > maxShownBody {
		body = append(body[:maxShownBody:maxShownBody], "..."...)
	}
	fmt.Printf("%s: status %d, run %s, replayed %q, body %s\n", label, r.status,
		r.header.Get("Lentilpin-Run"), r.header.Get("Idempotency-Replayed"), strings.TrimSpace(string(body)))
}

// send sends a request, with the idempotency key if it is not empty.
func send(ctx context.Context, method, url, key, body string) (*response, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return nil, err
	}
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	responseBody, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, err
	}
	return &response{resp.StatusCode, resp.Header, responseBody}, nil
}
