// Package standin contains stand-ins for the system's environment: inference
// engines, plain services, network links and callers. Product code never imports
// it.
package standin
