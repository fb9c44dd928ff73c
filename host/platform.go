package host

import (
	"github.com/samber/do/v2"

	"github.com/chestnutfield/chestnutfield/platform"
	"github.com/chestnutfield/chestnutfield/platform/dynamo"
	"github.com/chestnutfield/chestnutfield/platform/hostlist"
	"github.com/chestnutfield/chestnutfield/platform/s3"
	"github.com/chestnutfield/chestnutfield/settings"
)

// providePlatform gives the clients of the platform's services.
func providePlatform(i do.Injector) {
	do.Provide(i, func(i do.Injector) (platform.Table, error) {
		s := do.MustInvoke[*settings.Settings](i)
		return dynamo.New(dynamo.Options{Endpoint: s.Platform.Table}), nil
	})
	do.Provide(i, func(i do.Injector) (platform.Objects, error) {
		s := do.MustInvoke[*settings.Settings](i)
		return s3.New(s3.Options{Endpoint: s.Platform.Objects}), nil
	})
	do.Provide(i, func(i do.Injector) (platform.HostList, error) {
		s := do.MustInvoke[*settings.Settings](i)
		return hostlist.New(hostlist.Options{BaseURL: s.Platform.Hosts}), nil
	})
}
