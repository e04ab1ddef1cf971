package backend

import (
	"net/http"

	"github.com/labstack/echo/v4"
)

// Admin returns the admin handler of a group of stand-ins. NAME may be "*":
//
//	GET    /backends               counters of all
//	GET    /runs                   runs per order over all, with those above one
//	GET    /backends/NAME/runs     runs per order
//	GET    /backends/NAME/faults   faults in force
//	PUT    /backends/NAME/faults   replaces the faults
//	DELETE /backends/NAME/faults   removes the faults
//	POST   /backends/NAME/silence  makes the open connections silent
//	POST   /backends/NAME/crash    closes all connections and refuses new ones
func Admin(servers []*Server) http.Handler {
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
	e.GET("/runs", func(c echo.Context) error { return c.JSON(http.StatusOK, Sum(a.servers)) })
	e.GET("/backends/:name/runs", a.with(func(c echo.Context, list []*Server) error {
		return c.JSON(http.StatusOK, Sum(list))
	}))
	e.GET("/backends/:name/faults", a.with(func(c echo.Context, list []*Server) error {
		faults := map[string]Faults{}
		for _, s := range list {
			faults[s.Name()] = s.Faults()
		}
		return c.JSON(http.StatusOK, faults)
	}))
	e.PUT("/backends/:name/faults", a.with(func(c echo.Context, list []*Server) error {
		var f Faults
		if err := c.Bind(&f); err != nil {
			return err
		}
		return apply(c, list, func(s *Server) { s.SetFaults(f) })
	}))
	e.DELETE("/backends/:name/faults", a.with(func(c echo.Context, list []*Server) error {
		return apply(c, list, func(s *Server) { s.SetFaults(Faults{}) })
	}))
	e.POST("/backends/:name/silence", a.with(func(c echo.Context, list []*Server) error {
		return apply(c, list, (*Server).Silence)
	}))
	e.POST("/backends/:name/crash", a.with(func(c echo.Context, list []*Server) error {
		return apply(c, list, (*Server).Crash)
	}))
	return e
}

// RunSummary is how often orders ran.
type RunSummary struct {
	Orders   int            `json:"orders"` // distinct
	Runs     map[string]int `json:"runs"`
	Repeated map[string]int `json:"repeated"` // those that ran more than once
}

// Sum adds up the runs of several stand-ins.
func Sum(servers []*Server) RunSummary {
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

// with finds the stand-ins that a path names.
func (a *admin) with(f func(echo.Context, []*Server) error) echo.HandlerFunc {
	return func(c echo.Context) error {
		name := c.Param("name")
		var list []*Server
		for _, s := range a.servers {
			if name == "*" || name == s.Name() || name == s.Address() {
				list = append(list, s)
			}
		}
		if len(list) == 0 {
			return echo.NewHTTPError(http.StatusNotFound, "no such backend server")
		}
		return f(c, list)
	}
}

func apply(c echo.Context, list []*Server, f func(*Server)) error {
	for _, s := range list {
		f(s)
	}
	return c.NoContent(http.StatusNoContent)
}
