package forward

import "github.com/endivetrack/endivetrack/internal/quarantine"

// identityOf returns what all repeats of a request have in common: its route's host, method,
// path, client account and body.
func identityOf(q *request) string {
	account := ""
	if q.account != nil {
		account = q.account.Name
	}
	return quarantine.Identity([]byte(q.route.Host), []byte(q.method), []byte(q.uri), []byte(account), q.body)
}
