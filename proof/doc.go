// Package proof holds the tests that start real processes and bring failures
// about: kills, freezes, planned stops and outages.
package proof
