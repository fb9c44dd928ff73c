package admin

import (
	"net/url"
	"strconv"

	"github.com/gofiber/fiber/v3"
	"github.com/pkg/errors"
	"github.com/samber/lo"

	"github.com/chestnutfield/chestnutfield/admin/api"
	"github.com/chestnutfield/chestnutfield/cloud"
	"github.com/chestnutfield/chestnutfield/config/command"
	"github.com/chestnutfield/chestnutfield/config/schema"
	"github.com/chestnutfield/chestnutfield/table"
)

// defaultHistoryLimit is the number of versions that a history covers by default.
const defaultHistoryLimit = 50

// httpStatus maps the state of a command's result to the HTTP status.
var httpStatus = map[command.State]int{
	command.Accepted:    fiber.StatusOK,
	command.Unchanged:   fiber.StatusOK,
	command.Refused:     fiber.StatusUnprocessableEntity,
	command.NotFound:    fiber.StatusNotFound,
	command.Conflict:    fiber.StatusConflict,
	command.Unavailable: fiber.StatusServiceUnavailable,
	command.Unknown:     fiber.StatusGatewayTimeout,
}

// respondError responds to a failed request with an api.ErrorResponse.
func respondError(c fiber.Ctx, err error) error {
	status := fiber.StatusInternalServerError
	var known *fiber.Error
	switch {
	case errors.As(err, &known):
		status = known.Code
	case errors.Is(err, cloud.ErrUnavailable):
		status = fiber.StatusServiceUnavailable
	}
	return c.Status(status).JSON(api.ErrorResponse{Error: err.Error()})
}

func (s *Server) readiness(c fiber.Ctx) error {
	switch {
	case s.opts.Status.Stopping():
		return c.Status(fiber.StatusServiceUnavailable).SendString("stopping\n")
	case !s.opts.Config.Status().Ready:
		return c.Status(fiber.StatusServiceUnavailable).SendString("no configuration in force\n")
	}
	return c.SendString("ready\n")
}

func (s *Server) status(c fiber.Ctx) error {
	out := api.Status{
		Host: s.opts.Status.Self(), Config: s.opts.Config.Status(),
		Peers: s.opts.Status.Peers(), Pools: s.opts.Status.Pools(),
	}
	out.Host.Live, out.Host.Version, out.Host.VersionAge = true, out.Config.Version, 0
	return c.JSON(out)
}

// listing returns the accepted rows of a table. While the table service does not
// answer it returns the rows in force on this host, marked as stale.
func (s *Server) listing(c fiber.Ctx, kind schema.TableName) (api.Listing, error) {
	t, err := s.opts.Queries.Tables(c.Context())
	stale := errors.Is(err, cloud.ErrUnavailable) && s.opts.Config.Status().Ready
	switch {
	case stale:
		t = s.opts.Config.Current()
	case err != nil:
		return api.Listing{}, err
	}
	l := api.Listing{Version: t.Version, Stale: stale}
	switch kind {
	case schema.Pools:
		l.Pools = t.Pools
	case schema.Workspaces:
		l.Workspaces, l.KeysRequired = t.Workspaces, t.Workspaces != nil
	case schema.Domains:
		l.Evacuated = t.Evacuated
	default:
		l.Routes = t.Routes
	}
	return l, nil
}

func (s *Server) list(kind schema.TableName) fiber.Handler {
	return func(c fiber.Ctx) error {
		l, err := s.listing(c, kind)
		if err != nil {
			return err
		}
		return c.JSON(l)
	}
}

func (s *Server) get(kind schema.TableName) fiber.Handler {
	return func(c fiber.Ctx) error {
		l, err := s.listing(c, kind)
		if err != nil {
			return err
		}
		name := c.Params("name")
		l.Pools = lo.PickByKeys(l.Pools, []string{name})
		l.Routes = lo.PickByKeys(l.Routes, []string{name})
		l.Workspaces = lo.PickByKeys(l.Workspaces, []string{name})
		if len(l.Pools)+len(l.Routes)+len(l.Workspaces) == 0 {
			message := string(kind) + ": no row named " + strconv.Quote(name) + " in version " + strconv.FormatUint(l.Version, 10)
			if l.Stale {
				message += ", which is in force here; the table service does not answer"
			}
			return fiber.NewError(fiber.StatusNotFound, message)
		}
		return c.JSON(l)
	}
}

func (s *Server) history(kind schema.TableName) fiber.Handler {
	return func(c fiber.Ctx) error {
		limit, err := uintParam(c, api.LimitParam, defaultHistoryLimit)
		if err != nil {
			return err
		}
		changes, err := s.opts.Queries.History(c.Context(), int(min(limit, table.MaxRoutes)))
		if err != nil {
			return err
		}
		return c.JSON(api.History{Changes: lo.Filter(changes, func(ch schema.Change, _ int) bool { return ch.Table == kind })})
	}
}

func (s *Server) apply(kind schema.TableName) fiber.Handler {
	return func(c fiber.Ctx) error {
		r := command.Request{Table: kind, Operation: schema.Apply, Data: c.Body()}
		r.File = c.Query(api.FileParam, string(kind)+".ini")
		return s.change(c, r)
	}
}

func (s *Server) remove(kind schema.TableName) fiber.Handler {
	return func(c fiber.Ctx) error {
		name, err := url.PathUnescape(c.Params("name"))
		if err != nil {
			return fiber.NewError(fiber.StatusBadRequest, "name: expected valid percent escapes")
		}
		return s.change(c, command.Request{Table: kind, Operation: schema.Delete, Name: name, File: string(kind)})
	}
}

// changeDomain evacuates or restores a failure domain.
func (s *Server) changeDomain(operation schema.Operation) fiber.Handler {
	return func(c fiber.Ctx) error {
		return s.change(c, command.Request{Table: schema.Domains, Operation: operation, Name: c.Params("name"), File: string(schema.Domains)})
	}
}

func (s *Server) change(c fiber.Ctx, r command.Request) error {
	r.ChangeID = c.Query(api.ChangeParam)
	r.Author = author(c, c.Query(api.AuthorParam))
	if c.Query(api.IfVersionParam) != "" {
		version, err := uintParam(c, api.IfVersionParam, 0)
		if err != nil {
			return err
		}
		r.IfVersion = &version
	}
	return respondResult(c, s.opts.Commands.Do(c.Context(), r))
}

func (s *Server) changeOutcome(c fiber.Ctx) error {
	base, err := uintParam(c, api.BaseParam, 0)
	if err != nil {
		return err
	}
	return respondResult(c, s.opts.Commands.ChangeOutcome(c.Context(), c.Params("id"), base))
}

func respondResult(c fiber.Ctx, r command.Result) error {
	return c.Status(httpStatus[r.State]).JSON(r)
}

// uintParam returns a query parameter that is a non-negative integer, or def when it
// is absent.
func uintParam(c fiber.Ctx, name string, def uint64) (uint64, error) {
	v := c.Query(name)
	if v == "" {
		return def, nil
	}
	n, err := strconv.ParseUint(v, 10, 64)
	if err != nil {
		return 0, fiber.NewError(fiber.StatusBadRequest, name+": found "+strconv.Quote(v)+", expected a whole number")
	}
	return n, nil
}
