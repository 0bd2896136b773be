package netconn

import (
	"context"
	"net"
	"net/http"
)

type connKey struct{}

// ConnContext is the ConnContext of servers whose handlers need ServerConn.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// ServerConn returns the connection of a request, or nil if its server does not use
// ConnContext.
func ServerConn(r *http.Request) net.Conn {
	conn, _ := r.Context().Value(connKey{}).(net.Conn)
	return conn
}

// ResetIncomplete returns a handler that calls next. Until next has returned, the connection
// of an HTTP/1.0 caller is reset when it is closed, also by the server's own end, a panic, or
// the kernel after the process was killed. Its response may have neither a length nor chunks
// and then ends with its connection: only a reset shows that it is not complete.
func ResetIncomplete(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, ok := ServerConn(r).(interface{ SetLinger(sec int) error })
		if !ok || r.ProtoAtLeast(1, 1) {
			next.ServeHTTP(w, r)
			return
		}
		_ = conn.SetLinger(0) // fails only on a closed connection
		next.ServeHTTP(w, r)
		if http.NewResponseController(w).Flush() == nil {
			_ = conn.SetLinger(-1) // the kernel has the whole response and sends it before the close
		}
	})
}
