package fleet

import (
	"context"
	"fmt"
	"path/filepath"
	"strconv"

	"monsoonfork/core/ident"
	"monsoonfork/io/standin/engine"
	"monsoonfork/io/standin/list"
	"monsoonfork/io/standin/service"
	"monsoonfork/io/standin/store"
)

// startPlatform starts the stand-ins for the store and the instance list.
func (f *Fleet) startPlatform(ctx context.Context) error {
	var err error
	if f.Spec.InProcess {
		f.Store, err = startInProcess("store", "", store.New(store.WithLimits(f.Spec.StoreReads, f.Spec.StoreWrites)))
		if err == nil {
			f.InstanceList, err = startInProcess("list", "", list.New(list.WithLag(f.Spec.ListLag)))
		}
		return err
	}
	f.Store, err = f.startProcess(ctx, "store", "", []string{
		"store",
		"--read-limit", formatFloat(f.Spec.StoreReads),
		"--write-limit", formatFloat(f.Spec.StoreWrites),
	})
	if err == nil {
		f.InstanceList, err = f.startProcess(ctx, "list", "", []string{"list", "--lag", f.Spec.ListLag.String()})
	}
	return err
}

// startEngines starts the engines. The engines of each role are assigned round
// robin to the failure domains.
func (f *Fleet) startEngines(ctx context.Context) error {
	w := f.Spec.Workload
	for i := range w.Prefill + w.Decode {
		role, index := engine.PrefillRole, i
		if i >= w.Prefill {
			role, index = engine.DecodeRole, i-w.Prefill
		}
		name := fmt.Sprintf("%s-%s-%d", w.Model, role, index+1)
		s, err := f.startEngine(ctx, name, f.Spec.domain(index), role, f.checksFencing(i))
		if err != nil {
			return err
		}
		f.Engines = append(f.Engines, Engine{StandIn: s, Role: role, ChecksFencing: f.checksFencing(i)})
	}
	return nil
}

// checksFencing reports whether engine i checks fencing numbers.
func (f *Fleet) checksFencing(i int) bool { return f.Spec.ChecksFencing && i%2 == 0 }

// startEngine starts one stand-in engine.
func (f *Fleet) startEngine(ctx context.Context, name string, domain ident.DomainID, role engine.Role, checksFencing bool) (*StandIn, error) {
	if f.Spec.InProcess {
		return startInProcess(name, domain, engine.New(
			engine.WithName(name),
			engine.WithRole(role),
			engine.WithModels(string(f.Spec.Workload.Model)),
			engine.WithSlots(engineSlots),
			engine.WithMemory(engineMemoryPieces, engineTokensPerPiece),
			engine.WithPrefill(prefillRate, prefillBaseTime),
			engine.WithInterToken(interTokenTime, batchSlowdown),
			engine.WithLink(engineLinkBytesPerSecond, bytesPerKVToken),
			engine.WithOrderDuration(orderDuration),
			engine.WithFencing(checksFencing),
			engine.WithTimeScale(f.Spec.timeScale()),
			engine.WithSeed(f.Spec.Seed),
		))
	}
	args := []string{
		"engine",
		"--name", name,
		"--role", role.String(),
		"--models", string(f.Spec.Workload.Model),
		"--slots", strconv.Itoa(engineSlots),
		"--pieces", strconv.FormatInt(int64(engineMemoryPieces), 10),
		"--tokens-per-piece", strconv.FormatInt(int64(engineTokensPerPiece), 10),
		"--prefill-rate", formatFloat(float64(prefillRate)),
		"--prefill-base", prefillBaseTime.String(),
		"--inter-token", interTokenTime.String(),
		"--batch-slowdown", formatFloat(batchSlowdown),
		"--link-bytes", strconv.FormatInt(int64(engineLinkBytesPerSecond), 10),
		"--bytes-per-token", strconv.FormatInt(int64(bytesPerKVToken), 10),
		"--order-time", orderDuration.String(),
		"--time-scale", formatFloat(f.Spec.timeScale()),
		"--seed", strconv.FormatUint(f.Spec.Seed, 10),
	}
	if checksFencing {
		args = append(args, "--checks-fencing")
	}
	return f.startProcess(ctx, name, domain, args)
}

// startServices starts the endpoints of the plain service, assigned round robin
// to the failure domains.
func (f *Fleet) startServices(ctx context.Context) error {
	for i := range f.Spec.Workload.PlainEndpoints {
		name := fmt.Sprintf("planning-%d", i+1)
		s, err := f.startService(ctx, name, f.Spec.domain(i))
		if err != nil {
			return err
		}
		f.Services = append(f.Services, s)
	}
	return nil
}

// startService starts one endpoint of the plain service.
func (f *Fleet) startService(ctx context.Context, name string, domain ident.DomainID) (*StandIn, error) {
	if f.Spec.InProcess {
		return startInProcess(name, domain, service.New(service.WithName(name), service.WithProcessingTime(serviceProcessingTime)))
	}
	runLog := filepath.Join(f.Runner.Dir(), name+".runs")
	args := []string{"service", "--name", name, "--run-time", serviceProcessingTime.String(), "--run-log", runLog}
	return f.startProcess(ctx, name, domain, args)
}

// formatFloat formats a number without an exponent.
func formatFloat(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) }
