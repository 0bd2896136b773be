package forward

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/endivetrack/endivetrack/internal/manifest"
)

func TestIdentityIsThatOfRepeatsOnly(t *testing.T) {
	route := &manifest.Route{Host: "h"}
	a, b := &manifest.ClientAccount{Name: "a"}, &manifest.ClientAccount{Name: "b"}
	q := request{id: "1", method: "POST", uri: "/read/x?y=1", account: a, body: []byte("pay"), route: route}
	repeat := q
	repeat.id, repeat.body = "2", []byte("pay")
	assert.Equal(t, identityOf(&q), identityOf(&repeat))
	for name, change := range map[string]func(x *request){
		"method":         func(x *request) { x.method = "PUT" },
		"path":           func(x *request) { x.uri = "/read/x?y=2" },
		"account":        func(x *request) { x.account = b },
		"no account":     func(x *request) { x.account = nil },
		"body":           func(x *request) { x.body = []byte("pay!") },
		"path into body": func(x *request) { x.uri, x.body = "/read/x?y=", []byte("1pay") },
	} {
		other := q
		change(&other)
		assert.Assert(t, identityOf(&q) != identityOf(&other), name)
	}
}
