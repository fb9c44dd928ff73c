package host

import (
	"github.com/samber/do/v2"
	"go.uber.org/zap"

	"github.com/chestnutfield/chestnutfield/cloud"
	"github.com/chestnutfield/chestnutfield/cloud/dynamo"
	"github.com/chestnutfield/chestnutfield/cloud/hostlist"
	"github.com/chestnutfield/chestnutfield/cloud/s3"
	"github.com/chestnutfield/chestnutfield/http1"
	"github.com/chestnutfield/chestnutfield/settings"
)

// provideCloud registers the clients of the table service, the object store and
// the host list.
func provideCloud(i do.Injector) {
	do.Provide(i, func(i do.Injector) (cloud.Table, error) {
		s := do.MustInvoke[*settings.Settings](i)
		return dynamo.New(dynamo.Options{Endpoint: s.Platform.Table, Responses: do.MustInvoke[*http1.Monitor](i)}), nil
	})
	do.Provide(i, func(i do.Injector) (cloud.ObjectStore, error) {
		s := do.MustInvoke[*settings.Settings](i)
		return s3.New(s3.Options{Endpoint: s.Platform.Objects, Responses: do.MustInvoke[*http1.Monitor](i)}), nil
	})
	do.Provide(i, func(i do.Injector) (cloud.HostList, error) {
		s := do.MustInvoke[*settings.Settings](i)
		return hostlist.New(hostlist.Options{
			BaseURL: s.Platform.Hosts, Logger: do.MustInvoke[*zap.Logger](i), Responses: do.MustInvoke[*http1.Monitor](i),
		}), nil
	})
}
