package entry

import (
	"io"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
)

// operatorHeaderTimeout bounds the header of an operator's request.
const operatorHeaderTimeout = 5 * time.Second

func (e *Entry) operatorServer() *http.Server {
	h := echo.New()
	h.HideBanner, h.HidePort = true, true
	h.Logger.SetOutput(io.Discard)
	h.GET("/healthz", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	h.GET("/readyz", func(c echo.Context) error {
		if ok, reason := e.ready(); !ok {
			return c.String(http.StatusServiceUnavailable, reason+"\n")
		}
		return c.String(http.StatusOK, "ready\n")
	})
	h.GET("/metrics", echo.WrapHandler(e.metrics.Handler))
	return &http.Server{Handler: h, ReadHeaderTimeout: operatorHeaderTimeout}
}
