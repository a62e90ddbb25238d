package autoscaler

import (
	"fmt"
	"testing"

	"woadweir/internal/core/model"
)

// BenchmarkRound measures a round over many machines, most of them full, with 20,000
// waiting tasks of many sizes, while the cloud has refused every offer.
func BenchmarkRound(b *testing.B) {
	for _, machines := range []int{1900, 4000} {
		b.Run(fmt.Sprint(machines), func(b *testing.B) { benchRound(b, machines) })
	}
}

func benchRound(b *testing.B, machines int) {
	in := &Input{MachineTypes: machineTypes, CloudOK: true}
	for i := range machines {
		machineType, used := "box", model.Resources{Cores: 9_000, Mem: 30_000}
		if i%2 == 0 {
			machineType, used = "gpu", model.Resources{Cores: 18_000, GPUs: 4000, Mem: 70_000}
		}
		if i%10 == 0 {
			used = model.Resources{}
		}
		in.Machines = append(in.Machines, machine(fmt.Sprintf("host-%06d", i), machineType, used))
	}
	for i := range 500 {
		d := demand(40, model.Resources{Cores: 4000 + model.Milli(i), GPUs: 1000, Mem: 12_000}, true)
		in.Waiting = append(in.Waiting, d)
		in.Sizes = append(in.Sizes, d.Job.Request)
	}
	provisioner := New(Defaults())
	for _, machineType := range machineTypes {
		for _, zone := range machineType.Zones {
			provisioner.OfferRefused(Offer{machineType.Name, zone, true}, 1<<50)
			provisioner.OfferRefused(Offer{machineType.Name, zone, false}, 1<<50)
		}
	}
	for i := range b.N {
		in.Now = sec + model.Micros(i)*sec/2
		provisioner.Round(in)
	}
}
