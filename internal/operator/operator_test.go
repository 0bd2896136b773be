package operator

import (
	"context"
	"fmt"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/resultcode"
)

// statusServer is a control instance that implements only Status.
type statusServer struct {
	api.ControlQuery
	leader string
	err    error
}

func (s statusServer) Status(context.Context, *api.StatusRequest) (*api.StatusResponse, error) {
	return &api.StatusResponse{Leader: s.leader}, s.err
}

func openOperator(t *testing.T, instances ...statusServer) *Operator {
	t.Helper()
	addresses := ""
	for _, s := range instances {
		server := httptest.NewServer(api.NewControlQueryServer(s))
		t.Cleanup(server.Close)
		addresses += fmt.Sprintf("%q,", server.Listener.Addr().String())
	}
	dir := t.TempDir()
	key, file := filepath.Join(dir, "key"), filepath.Join(dir, "endivectl.toml")
	assert.NilError(t, os.WriteFile(key, []byte("operator-key"), 0o600))
	assert.NilError(t, os.WriteFile(file, fmt.Appendf(nil, "control_addresses = [%s]\noperator_key_file = %q\n", addresses, key), 0o600))
	o, err := Open(file)
	assert.NilError(t, err)
	return o
}

// Guards against returning the status of a control instance that is partitioned
// from its group although another instance names the leader.
func TestStatusPrefersInstanceWithLeader(t *testing.T) {
	unavailable := resultcode.ToTwirp(resultcode.Newf(resultcode.ControlUnavailable, "no leader reached"))
	for name, tc := range map[string]struct {
		instances []statusServer
		leader    string
	}{
		"partitioned instance first": {[]statusServer{{}, {leader: "control-2"}}, "control-2"},
		"unavailable instance first": {[]statusServer{{err: unavailable}, {leader: "control-2"}}, "control-2"},
		"no instance names a leader": {[]statusServer{{err: unavailable}, {}}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			status, err := openOperator(t, tc.instances...).Status(t.Context())
			assert.NilError(t, err)
			assert.Equal(t, status.GetLeader(), tc.leader)
		})
	}
	_, err := openOperator(t, statusServer{err: unavailable}).Status(t.Context())
	assert.ErrorIs(t, err, &resultcode.Error{Code: resultcode.ControlUnavailable})
}
