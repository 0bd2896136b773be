// Command standin-link relays TCP connections and injects network faults. On the
// control address, PUT /link sets the fault state and GET /link returns the
// counts, both as JSON.
package main

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/endivetrack/endivetrack/standin/netfault"
)

func main() {
	listen := flag.String("listen", "127.0.0.1:0", "IP:port that clients connect to")
	target := flag.String("target", "", "IP:port to relay to")
	control := flag.String("control", "", "IP:port of the control endpoint")
	flag.Parse()
	if err := run(*listen, *target, *control); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(listen, target, control string) error {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	relay := netfault.NewRelay(l, target)
	server := &http.Server{Addr: control, Handler: handler(relay), ReadHeaderTimeout: time.Second}
	failed := make(chan error, 1)
	go func() { failed <- server.ListenAndServe() }()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	select {
	case err = <-failed:
	case <-stop:
	}
	return errors.Join(err, relay.Close(), server.Close())
}

func handler(relay *netfault.Relay) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /link", func(w http.ResponseWriter, r *http.Request) {
		var s netfault.State
		if err := json.NewDecoder(r.Body).Decode(&s); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		relay.Set(s)
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("GET /link", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(relay.Counts())
	})
	return mux
}
