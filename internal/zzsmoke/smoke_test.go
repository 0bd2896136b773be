package zzsmoke

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/endivetrack/endivetrack/client"
	"github.com/endivetrack/endivetrack/standin/cluster"
)

func TestSmoke(t *testing.T) {
	dir := t.TempDir()
	root, _ := os.Getwd()
	root = strings.TrimSuffix(root, "/internal/zzsmoke")
	ctx, cancel := context.WithTimeout(context.Background(), 150*time.Second)
	defer cancel()
	os.MkdirAll(dir+"/bin", 0o755)
	if err := cluster.Build(ctx, root, dir+"/bin"); err != nil {
		t.Fatal(err)
	}
	c, err := cluster.New(cluster.Options{BinDir: dir + "/bin", Dir: dir + "/d", Controls: 3, Entries: 6, Engines: 4, Services: 3, Accounts: 2})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Stop()
	if err := c.Start(ctx); err != nil {
		t.Fatal(err)
	}
	time.Sleep(2 * time.Second)
	var seeds []string
	for _, e := range c.Entries {
		seeds = append(seeds, e.Address)
	}
	cl, _ := client.New(client.Config{Entries: seeds, Key: c.AccountKeys[0], Region: "dakar", FailureDomain: "dakar-a"})
	defer cl.Close()
	var ok, lost, refused, bad, calls, callFail, resumed atomic.Int64
	var wg sync.WaitGroup
	stop := make(chan struct{})
	var mu sync.Mutex
	kinds := map[string]int{}
	note := func(s string) { mu.Lock(); kinds[s]++; mu.Unlock() }
	for w := range 24 {
		wg.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				s, err := cl.Generate(ctx, client.Generation{Model: "appraiser", MaxTokens: 60, Messages: []client.Message{{Role: "user", Content: fmt.Sprint("hay ", w, i)}}})
				if err != nil {
					refused.Add(1)
					note(err.Error())
					continue
				}
				n := 0
				for {
					tok, err := s.Next()
					if errors.Is(err, io.EOF) {
						ok.Add(1)
						break
					}
					if err != nil {
						lost.Add(1)
						note(err.Error())
						break
					}
					if tok.Offset != n {
						bad.Add(1)
					}
					n++
				}
				s.Close()
			}
		})
	}
	for w := range 6 {
		wg.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				calls.Add(1)
				_, err := cl.Call(ctx, client.Call{Service: "auction-core", Method: "POST", Path: "/bids/1", Body: []byte("5"), IdempotencyKey: fmt.Sprintf("k-%d-%d", w, i)})
				if err != nil {
					callFail.Add(1)
					note("call " + err.Error())
				}
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	time.Sleep(3 * time.Second)
	t0 := time.Now()
	fmt.Println("planned stop of entry 0:", c.Entries[0].Terminate(30*time.Second), time.Since(t0), "bad", bad.Load(), "lost", lost.Load(), "refused", refused.Load(), "callFail", callFail.Load(), kinds)
	time.Sleep(2 * time.Second)
	c.Entries[3].Kill()
	fmt.Println("killed entry 3")
	time.Sleep(5 * time.Second)
	fmt.Println("after kill: bad", bad.Load(), "lost", lost.Load(), "refused", refused.Load(), "callFail", callFail.Load(), kinds)
	c.Engines[0].Kill()
	time.Sleep(5 * time.Second)
	close(stop)
	wg.Wait()
	fmt.Println("ok", ok.Load(), "lost", lost.Load(), "refused", refused.Load(), "bad", bad.Load(), "calls", calls.Load(), "callFail", callFail.Load(), resumed.Load())
	mu.Lock()
	for k, v := range kinds {
		fmt.Println(v, k)
	}
	mu.Unlock()
	for _, e := range c.Entries {
		if l := e.Log(400); l != "" {
			fmt.Println(e.Name, l)
		}
		var m struct{ Counters map[string]int64 }
		if cluster.GetJSON(ctx, "http://"+e.Address+"/metrics", &m) == nil {
			fmt.Println(e.Name, m.Counters)
		}
	}
}
