package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/kingcuppitch/kingcuppitch/process/membership"
	"github.com/kingcuppitch/kingcuppitch/version/config"
	"google.golang.org/protobuf/proto"
)

// followedServices is the number of services that the routes of a daemon call at
// the design size.
const followedServices = 30

// routeCount is the number of routes in a large configuration.
const routeCount = 650

// largeCore returns a core that holds n members of its zone and follows 30
// services.
func largeCore(n int) *core {
	c := testCore("self", "a")
	services := make([]string, followedServices)
	for i := range services {
		services[i] = fmt.Sprint("service", i)
	}
	c.services = services
	c.table.Follow(services...)
	var members []membership.Member
	for i := range n {
		m := testMember(fmt.Sprint("m", i), "a")
		m.Service = fmt.Sprint("service", i%180)
		members = append(members, m)
	}
	c.table.Merge(epoch, members)
	for i := range routeCount {
		c.state.Config.Routes = append(c.state.Config.Routes, config.Route{
			Name: fmt.Sprint("r", i), Host: "shop.example", Prefix: fmt.Sprintf("/path%d/", i), Upstream: services[i%followedServices],
		})
	}
	return c
}

// BenchmarkExchange measures both sides of one exchange between two daemons that
// hold the same members, and the size of its messages in bytes.
func BenchmarkExchange(b *testing.B) {
	for _, n := range []int{100, 400, 1200} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			a, peer := largeCore(n), largeCore(n)
			req := a.exchangeRequest(time.Now())
			res := peer.onExchange(epoch, 0, req)
			b.ResetTimer()
			for range b.N {
				req = a.exchangeRequest(time.Now())
				res = peer.onExchange(epoch, 0, req)
				a.onExchangeDone(epoch, 0, exchangeDone{to: peer.table.Self(), res: res})
				a.actions, peer.actions = nil, nil
			}
			b.ReportMetric(float64(proto.Size(req)+proto.Size(res)), "bytes")
		})
	}
}

// BenchmarkMemberChange measures the change of one member, including the new view
// for traffic.
func BenchmarkMemberChange(b *testing.B) {
	for _, n := range []int{100, 400, 1200} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c := largeCore(n)
			m := testMember("m0", "a")
			b.ResetTimer()
			for i := range b.N {
				m.Seq = uint64(i + 2)
				c.merge(epoch, 0, []membership.Member{m})
				c.snapshot()
				c.isReader()
				c.actions = nil
			}
		})
	}
}

// BenchmarkTick measures a control tick without pending updates.
func BenchmarkTick(b *testing.B) {
	c := largeCore(1200)
	c.serving, c.logEnds.relyUntil = true, epoch.Add(time.Hour)
	for range b.N {
		c.handle(tick{}, epoch, 0)
	}
}
