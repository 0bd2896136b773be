// Package standin holds stand-ins for what lies around the system: engines,
// plain services, network paths and callers. The product never imports it.
package standin
