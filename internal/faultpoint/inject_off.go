//go:build !faultinjection

package faultpoint

import "net/http"

// Handler returns nil: this build cannot be told to fail.
func Handler() http.Handler { return nil }
