package peer

import (
	"net/url"

	"github.com/gin-gonic/gin"

	"lemonstream.dev/lemonstream/catalog"
)

const (
	// queryOrganisation is the query parameter with the organisation of a caller, queryRoute that
	// with the kind of the route by which its call came. Entries of earlier versions send neither.
	queryOrganisation = "organisation"
	queryRoute        = "route_kind"

	// Kinds of routes.
	routeKeyed  = "keyed"
	routePublic = "public"
)

// jobQuery returns the query of a call about a job on behalf of a caller.
func jobQuery(service string, caller catalog.Caller, id string) url.Values {
	query := url.Values{
		queryService: {service},
		"id":         {id},
	}
	if caller.Unchecked {
		return query
	}
	query.Set(queryOrganisation, caller.Organisation)
	query.Set(queryRoute, routeKeyed)
	if caller.Public {
		query.Set(queryRoute, routePublic)
	}
	return query
}

// callerOf returns the caller in a query. An entry of an earlier version sends none.
func callerOf(c *gin.Context) catalog.Caller {
	kind, sent := c.GetQuery(queryRoute)
	return catalog.Caller{
		Organisation: c.Query(queryOrganisation),
		Public:       kind == routePublic,
		Unchecked:    !sent,
	}
}
