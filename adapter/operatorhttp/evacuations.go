package operatorhttp

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/bulrushrelay/bulrushrelay/core/evacuation"
	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/verdict"
	"github.com/bulrushrelay/bulrushrelay/relay/evacuations"
)

const evacuationsPath = "/v1/evacuations"

// EvacuationService makes, withdraws and lists requests for evacuations. *evacuations.Operator implements it.
type EvacuationService interface {
	Start(ctx context.Context, dc ident.DataCentre, reason string) (evacuation.Request, error)
	Stop(ctx context.Context, dc ident.DataCentre) error
	List(ctx context.Context) (evacuations.Overview, error)
}

// Evacuation is a request to start nothing more in a data centre.
type Evacuation struct {
	DataCentre string `json:"data_centre"`
	Reason     string `json:"reason"`
	// Revision is the store revision of the request.
	Revision int64 `json:"revision"`
}

// EvacuationRequest is the body of a request for an evacuation.
type EvacuationRequest struct {
	Reason string `json:"reason"`
}

// EvacuatedCentre is what is on the evacuated workers of a data centre.
type EvacuatedCentre struct {
	DataCentre string `json:"data_centre"`
	Workers    int    `json:"workers"`
	// Tasks counts the tasks that run there by why they stay.
	Tasks map[string]int `json:"tasks"`
}

// Evacuations is the requests in force and what is on the evacuated workers of the cells of the asked host.
type Evacuations struct {
	Requests  []Evacuation      `json:"requests"`
	Evacuated []EvacuatedCentre `json:"evacuated"`
	// Cells is the number of cells that Evacuated covers, AllCells that of the deployment.
	Cells    int       `json:"cells"`
	AllCells int       `json:"all_cells"`
	ReadAt   time.Time `json:"read_at"`
}

// RegisterEvacuations adds the routes of evacuations to e. s is nil if the host has them turned off.
func (h *Handler) RegisterEvacuations(e *echo.Echo, s EvacuationService) {
	routes := evacuationRoutes{s}
	read := e.Group(evacuationsPath, h.withLimits, h.requireRole(RoleReadOnly), routes.requireService)
	read.GET("", routes.list)
	edit := e.Group(evacuationsPath, h.withLimits, h.requireRole(RoleEdit), routes.requireService)
	edit.PUT("/:dc", routes.start)
	edit.DELETE("/:dc", routes.stop)
}

type evacuationRoutes struct {
	service EvacuationService
}

// requireService is middleware that refuses calls to a host without evacuations.
func (r evacuationRoutes) requireService(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if r.service == nil {
			return verdict.New(verdict.NotRun, verdict.CodeNotFound, "evacuations are turned off on this host: evacuation-bound is 0")
		}
		return next(c)
	}
}

func (r evacuationRoutes) list(c echo.Context) error {
	v, err := r.service.List(c.Request().Context())
	if err != nil {
		return err
	}
	answer := Evacuations{Requests: []Evacuation{}, Evacuated: []EvacuatedCentre{}, Cells: v.Cells, AllCells: v.AllCells, ReadAt: time.Now().UTC()}
	for _, q := range v.Requests {
		answer.Requests = append(answer.Requests, fromRequest(q))
	}
	for _, centre := range v.Evacuated {
		tasks := make(map[string]int)
		for reason, n := range centre.Stays {
			if n > 0 {
				tasks[evacuation.Stay(reason).String()] = n
			}
		}
		answer.Evacuated = append(answer.Evacuated, EvacuatedCentre{DataCentre: string(centre.DataCentre), Workers: centre.Workers, Tasks: tasks})
	}
	return c.JSON(http.StatusOK, answer)
}

func (r evacuationRoutes) start(c echo.Context) error {
	var body EvacuationRequest
	if err := c.Bind(&body); err != nil {
		return invalid("body: want a JSON object with the field reason")
	}
	q, err := r.service.Start(c.Request().Context(), dataCentreParam(c), body.Reason)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, fromRequest(q))
}

func (r evacuationRoutes) stop(c echo.Context) error {
	if err := r.service.Stop(c.Request().Context(), dataCentreParam(c)); err != nil {
		return err
	}
	return c.JSON(http.StatusOK, struct{}{})
}

func dataCentreParam(c echo.Context) ident.DataCentre {
	name, err := url.PathUnescape(c.Param("dc"))
	if err != nil {
		name = c.Param("dc")
	}
	return ident.DataCentre(name)
}

func fromRequest(q evacuation.Request) Evacuation {
	return Evacuation{DataCentre: string(q.DataCentre), Reason: q.Reason, Revision: int64(q.Revision)}
}
