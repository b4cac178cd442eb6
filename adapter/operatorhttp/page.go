package operatorhttp

import (
	"embed"
	"io/fs"
	"net/http"

	"github.com/labstack/echo/v4"
)

//go:embed page
var pageFiles embed.FS

// contentSecurityPolicy allows the page only its own files and connections to its own host, so that the text of a
// table cell is never run as a script.
const contentSecurityPolicy = "default-src 'none'; script-src 'self'; style-src 'self'; connect-src 'self'; " +
	"base-uri 'none'; form-action 'none'; frame-ancestors 'none'"

// registerPage adds the routes of the page. They need no token: the page asks for one and sends it with each API call.
func registerPage(e *echo.Echo) {
	files, err := fs.Sub(pageFiles, "page")
	if err != nil {
		panic(err) // The directory is embedded at build time, so this cannot fail at run time.
	}
	serve := http.StripPrefix("/table/", http.FileServerFS(files))
	e.GET("/table/*", func(c echo.Context) error {
		header := c.Response().Header()
		header.Set("Content-Security-Policy", contentSecurityPolicy)
		header.Set("X-Content-Type-Options", "nosniff")
		header.Set("Referrer-Policy", "no-referrer")
		header.Set("Cache-Control", "no-cache")
		serve.ServeHTTP(c.Response(), c.Request())
		return nil
	})
	e.GET("/table", func(c echo.Context) error {
		return c.Redirect(http.StatusMovedPermanently, "/table/")
	})
}
