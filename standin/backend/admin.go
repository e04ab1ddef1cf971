package backend

import (
	"net/http"

	"github.com/labstack/echo/v4"
)

// AdminHandler returns the admin handler of a group of stand-ins. NAME is the
// name or address of a stand-in, or "*" for all of them:
//
//	GET    /backends               returns the counters of all stand-ins
//	GET    /runs                   returns the RunSummary of all stand-ins
//	GET    /backends/NAME/runs     returns the RunSummary
//	GET    /backends/NAME/faults   returns the injected faults by name
//	PUT    /backends/NAME/faults   replaces the injected faults
//	DELETE /backends/NAME/faults   removes the injected faults
//	POST   /backends/NAME/silence  makes the open connections silent
//	POST   /backends/NAME/crash    closes all connections and refuses new ones
func AdminHandler(servers []*Server) http.Handler {
	a := &admin{servers: servers}
	e := echo.New()
	e.HideBanner = true
	e.GET("/backends", func(c echo.Context) error {
		all := make([]Stats, 0, len(a.servers))
		for _, s := range a.servers {
			all = append(all, s.Stats())
		}
		return c.JSON(http.StatusOK, all)
	})
	e.GET("/runs", func(c echo.Context) error { return c.JSON(http.StatusOK, SumRuns(a.servers)) })
	e.GET("/backends/:name/runs", a.withServers(func(c echo.Context, matched []*Server) error {
		return c.JSON(http.StatusOK, SumRuns(matched))
	}))
	e.GET("/backends/:name/faults", a.withServers(func(c echo.Context, matched []*Server) error {
		faults := map[string]Faults{}
		for _, s := range matched {
			faults[s.Name()] = s.Faults()
		}
		return c.JSON(http.StatusOK, faults)
	}))
	e.PUT("/backends/:name/faults", a.withServers(func(c echo.Context, matched []*Server) error {
		var f Faults
		if err := c.Bind(&f); err != nil {
			return err
		}
		return applyToServers(c, matched, func(s *Server) { s.SetFaults(f) })
	}))
	e.DELETE("/backends/:name/faults", a.withServers(func(c echo.Context, matched []*Server) error {
		return applyToServers(c, matched, func(s *Server) { s.SetFaults(Faults{}) })
	}))
	e.POST("/backends/:name/silence", a.withServers(func(c echo.Context, matched []*Server) error {
		return applyToServers(c, matched, (*Server).Silence)
	}))
	e.POST("/backends/:name/crash", a.withServers(func(c echo.Context, matched []*Server) error {
		return applyToServers(c, matched, (*Server).Crash)
	}))
	return e
}

// RunSummary holds the number of runs of each order, by order ID.
type RunSummary struct {
	Orders   int            `json:"orders"` // number of distinct orders
	Runs     map[string]int `json:"runs"`
	Repeated map[string]int `json:"repeated"` // orders that ran more than once
}

// SumRuns returns the total runs of several stand-ins.
func SumRuns(servers []*Server) RunSummary {
	out := RunSummary{Runs: map[string]int{}, Repeated: map[string]int{}}
	for _, s := range servers {
		for order, n := range s.Runs() {
			out.Runs[order] += n
		}
	}
	out.Orders = len(out.Runs)
	for order, n := range out.Runs {
		if n > 1 {
			out.Repeated[order] = n
		}
	}
	return out
}

type admin struct{ servers []*Server }

// withServers returns a handler that calls handle with the stand-ins that the
// path parameter name selects, or replies with 404 if there are none.
func (a *admin) withServers(handle func(echo.Context, []*Server) error) echo.HandlerFunc {
	return func(c echo.Context) error {
		name := c.Param("name")
		var matched []*Server
		for _, s := range a.servers {
			if name == "*" || name == s.Name() || name == s.Address() {
				matched = append(matched, s)
			}
		}
		if len(matched) == 0 {
			return echo.NewHTTPError(http.StatusNotFound, "no such backend server")
		}
		return handle(c, matched)
	}
}

// applyToServers calls f with each server and replies with 204.
func applyToServers(c echo.Context, servers []*Server, f func(*Server)) error {
	for _, s := range servers {
		f(s)
	}
	return c.NoContent(http.StatusNoContent)
}
