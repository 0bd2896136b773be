//go:build !faultinjection

package faultpoint

import "net/http"

// Handler returns nil: this build has no fault injection.
func Handler() http.Handler { return nil }
