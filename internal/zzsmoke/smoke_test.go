package zzsmoke

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	"github.com/endivetrack/endivetrack/standin/cluster"
)

func TestSmoke(t *testing.T) {
	dir := t.TempDir()
	root, _ := os.Getwd()
	root = strings.TrimSuffix(root, "/internal/zzsmoke")
	ctx, cancel := context.WithTimeout(context.Background(), 120*time.Second)
	defer cancel()
	_ = exec.Command
	if err := cluster.Build(ctx, root, dir+"/bin"); err != nil {
		os.MkdirAll(dir+"/bin", 0o755)
		if err := cluster.Build(ctx, root, dir+"/bin"); err != nil {
			t.Fatal(err)
		}
	}
	c, err := cluster.New(cluster.Options{BinDir: dir + "/bin", Dir: dir + "/d", Controls: 3, Entries: 3, Engines: 3, Services: 3, Accounts: 2})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Stop()
	if err := c.Start(ctx); err != nil {
		for _, p := range c.All() {
			fmt.Println("==", p.Name, p.Log(1500))
		}
		t.Fatal(err)
	}
	time.Sleep(2 * time.Second)
	do := func(i int, method, path, body string, h ...string) string {
		r, _ := http.NewRequest(method, "http://"+c.Entries[i].Address+path, strings.NewReader(body))
		r.Header.Set("Authorization", "Bearer "+c.AccountKeys[0])
		for j := 0; j+1 < len(h); j += 2 {
			r.Header.Set(h[j], h[j+1])
		}
		start := time.Now()
		resp, err := http.DefaultClient.Do(r)
		if err != nil {
			return err.Error()
		}
		defer resp.Body.Close()
		b, _ := io.ReadAll(resp.Body)
		s := string(b)
		if len(s) > 700 {
			s = s[:300] + "\n...\n" + s[len(s)-300:]
		}
		return fmt.Sprintf("%d %v %v\n%s", resp.StatusCode, resp.Header.Get("X-Endivetrack-Replayed"), time.Since(start), s)
	}
	for i := range 3 {
		fmt.Println(do(i, "GET", "/v1/addresses?region=kaolack", ""))
		fmt.Println(do(i, "POST", "/v1/chat/completions", `{"model":"appraiser","stream":true,"max_tokens":20,"messages":[{"role":"user","content":"hay"}]}`))
		fmt.Println(do(i, "GET", "/v1/services/auction-core/lots/1", ""))
		fmt.Println(do(i, "POST", "/v1/services/auction-core/bids/1", "5", "Idempotency-Key", "k1"))
		fmt.Println(do(i, "GET", "/metrics", ""))
	}
	t0 := time.Now()
	fmt.Println("terminate", c.Entries[0].Terminate(20*time.Second), time.Since(t0))
	fmt.Println(do(1, "POST", "/v1/chat/completions", `{"model":"appraiser","stream":true,"max_tokens":20,"messages":[{"role":"user","content":"hay"}]}`))
	fmt.Println(c.Entries[0].Log(1000))
}
