package catalog

// Caller says on whose behalf a call about a job is made.
type Caller struct {
	// Organisation is whose key the call carries; empty for none.
	Organisation string

	// Public says that the call came by a public route.
	Public bool

	// Unchecked says that nothing is compared: the call was passed on by an entry of a version
	// that does not send the caller's organisation.
	Unchecked bool
}

// JobOwner is the organisation and the route of a job, as its rows hold them.
type JobOwner struct {
	// Organisation is empty for jobs that were submitted without a key, and in rows of versions
	// that did not store it.
	Organisation string
	Route        string
}

// Admits reports whether a caller may see and cancel a job, and whether a job that it submits under
// the same ID is the same job. Public routes compare nothing, but only for jobs of public routes:
// any job of a service can be asked for by its ID on each route of the service, so a public route
// would otherwise show the jobs of all others.
func (c *Catalog) Admits(caller Caller, of JobOwner) bool {
	if caller.Unchecked || of.Organisation == "" || of.Organisation == caller.Organisation {
		return true
	}
	route, found := c.Route(of.Route)
	return caller.Public && found && route.Public
}
