// Package compare benchmarks this project against existing software: the push of a change of one backend against the same push by
// go-control-plane's delta cache over gRPC, and the store against bbolt and pebble. It is a module of its own, so that the program
// does not depend on the software that it is compared with. The benchmarks are run by hand:
//
//	cd compare && go test -run xxx -bench . -benchtime 20x
package compare

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	core "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpoint "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	eds "github.com/envoyproxy/go-control-plane/envoy/service/endpoint/v3"
	"github.com/envoyproxy/go-control-plane/pkg/cache/types"
	"github.com/envoyproxy/go-control-plane/pkg/cache/v3"
	"github.com/envoyproxy/go-control-plane/pkg/resource/v3"
	"github.com/envoyproxy/go-control-plane/pkg/server/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/stats"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"gingerfork/choice"
	"gingerfork/internal/coordinator"
	"gingerfork/internal/eventloop"
	"gingerfork/internal/fake"
	"gingerfork/internal/proto"
	"gingerfork/internal/trace"
)

const (
	backendCount = 100
	arcSize      = 6 // backends in the table of each subscriber
)

// holds reports whether a backend is in the table of a subscriber of go-control-plane. Each table has as many backends as an arc of
// this project's coordinator, so that both sides push to similar numbers of subscribers.
func holds(subscriber, backend int) bool {
	return (backend-subscriber*7%backendCount+backendCount)%backendCount < arcSize
}

// BenchmarkOneServerChange measures the time, the bytes and the subscribers reached per change of one backend, for several numbers
// of subscribers.
func BenchmarkOneServerChange(b *testing.B) {
	for _, n := range []int{100, 300, 1000} {
		b.Run(fmt.Sprintf("gingerfork/%d", n), func(b *testing.B) { benchmarkGingerfork(b, n) })
		b.Run(fmt.Sprintf("go-control-plane/%d", n), func(b *testing.B) { benchmarkControlPlane(b, n) })
	}
}

// report reports the metrics per change. reached is the number of subscribers that received the changes, summed over all changes.
func report(b *testing.B, spent time.Duration, bytes, reached int) {
	b.ReportMetric(float64(spent.Microseconds())/float64(b.N), "us/change")
	b.ReportMetric(float64(bytes)/float64(b.N), "bytes/change")
	b.ReportMetric(float64(reached)/float64(b.N), "subscribers/change")
}

// benchmarkGingerfork benchmarks this project's coordinator on sockets. A change is the drain of a backend; its time ends when the
// last proxy that has the backend in its table has applied the push.
func benchmarkGingerfork(b *testing.B, proxyCount int) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	values := map[string]any{
		"listing": "asked", "ask_within": 10.0, "cold_share": 0.3, "warm_after": 10.0, "drain_grace": 2.0, "fall_multiple": 2.5,
		"channel_room": 1e9, "channel_pace": 1e9, "message_lines": 10.0, "messages": 0.0, "push_time": 0.01, "push_time_worst": 0.3, "proxies": float64(proxyCount),
		"level_kind": "none", "report_period": 2.0, "zone": "a", "zones.n": 1.0, "zones.0": "a", "method.n": 1.0, "method.0.name": "read",
		"method.0.effect": "idempotent", "method.0.soft_deadline": 1.0, "method.0.criticality": 1.0,
	}
	clock := eventloop.NewClock()
	var endpoints []fake.Endpoint
	for i := range backendCount {
		endpoints = append(endpoints, fake.Endpoint{Backend: proto.BackendID(i + 1), State: proto.BackendOpen, Zone: "a", Weight: 1, Incarnation: 1, Addr: "127.0.0.1:1"})
	}
	mustStart := func(l *eventloop.Loop, err error) *eventloop.Loop {
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(func() { l.Stop(); _ = l.Wait() })
		return l
	}
	endpointLoop := mustStart(eventloop.Start(ctx, eventloop.Bootstrap{Machine: fake.NewEndpointService(endpoints), Listen: []string{"127.0.0.1:0"}, Clock: clock}))
	machine := coordinator.NewMachine(coordinator.Bootstrap{
		Name: "c0", Zone: "a", EndpointListAddr: endpointLoop.Addrs()[0], ModuleConfig: choice.Config{Seed: 1, Now: clock.Now(), Settings: choice.DecodeSettings(values)},
		HandshakeTimeout: 30, ProxyIdleTimeout: 60, EndpointListIdleTimeout: 30, ProbeTimeout: 5, MaxStreams: 20000, MaxProbes: 4,
	}, nil)
	coordinatorLoop := mustStart(eventloop.Start(ctx, eventloop.Bootstrap{Machine: machine, Listen: []string{"127.0.0.1:0"}, Clock: clock}))
	proxies := fake.NewMultiplexer()
	for i := range proxyCount {
		proxies.Add(fmt.Sprint("f", i), fake.NewFrontEnd(fake.FrontEndConfig{
			Name: fmt.Sprint("f", i), Zone: "a", Coordinators: coordinatorLoop.Addrs(),
			Methods: []fake.MethodConfig{{Name: "read", Share: 1, SoftDeadline: 1, Deadline: 2}}, Policy: "even", ReportPeriod: 2, ConnectTimeout: 1, Seed: uint64(i),
		}), 0)
	}
	var mu sync.Mutex
	held := map[uint32]map[string]bool{} // names of the proxies that have an entry, by backend
	joined := map[string]bool{}
	var awaited int
	var changing uint32
	reached := make(chan struct{}, 1)
	mustStart(eventloop.Start(ctx, eventloop.Bootstrap{Machine: proxies, Clock: clock, Trace: func(records []trace.Record) {
		mu.Lock()
		defer mu.Unlock()
		for _, r := range records {
			if r.Kind != trace.PushApplied {
				continue
			}
			for _, op := range strings.Split(r.Text, ";") {
				words := strings.Fields(op)
				if len(words) > 1 && words[0] == "withdraw" && words[1] == fmt.Sprint(changing) {
					if awaited--; awaited == 0 {
						reached <- struct{}{}
					}
				}
				for _, w := range words[1:] {
					if idText, weight, ok := strings.Cut(w, ":"); ok {
						backend, _ := strconv.Atoi(idText)
						if held[uint32(backend)] == nil {
							held[uint32(backend)] = map[string]bool{}
						}
						held[uint32(backend)][r.Party] = !strings.HasPrefix(weight, "0") || weight != "0"
						if weight == "0" || weight == "0!" {
							delete(held[uint32(backend)], r.Party)
						}
					}
				}
			}
			joined[r.Party] = true
		}
	}}))
	for end := time.Now().Add(30 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		mu.Lock()
		done := len(joined) == proxyCount
		mu.Unlock()
		if done {
			break
		}
		if time.Now().After(end) {
			b.Fatal("not all proxies have a table after 30 s")
		}
	}
	time.Sleep(500 * time.Millisecond)
	bytesSent := func() int {
		got := make(chan int)
		coordinatorLoop.RunBetweenSteps(func() { got <- machine.Stats().Bytes })
		return <-got
	}
	before := bytesSent()
	var spent time.Duration
	total := 0
	b.ResetTimer()
	for i := range b.N {
		mu.Lock()
		changing = uint32(1 + i%backendCount)
		awaited = len(held[changing])
		total += awaited
		mu.Unlock()
		begin := time.Now()
		endpointLoop.SendCommand(fmt.Sprintf("state %d draining", changing))
		select {
		case <-reached:
		case <-time.After(20 * time.Second):
			b.Fatal("a change did not reach all subscribers within 20 s")
		}
		spent += time.Since(begin)
		endpointLoop.SendCommand(fmt.Sprintf("state %d open", changing))
		time.Sleep(60 * time.Millisecond)
	}
	b.StopTimer()
	// The bytes include the pushes for the replacement entries and for the reopening of the backend. They are halved, because each
	// iteration makes a change and reverts it.
	report(b, spent, (bytesSent()-before)/2, total)
}

// counter counts the bytes of the messages that a gRPC server sends.
type counter struct{ bytes atomic.Int64 }

func (c *counter) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }
func (c *counter) HandleRPC(_ context.Context, s stats.RPCStats) {
	if out, ok := s.(*stats.OutPayload); ok {
		c.bytes.Add(int64(out.WireLength))
	}
}
func (c *counter) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }
func (c *counter) HandleConn(context.Context, stats.ConnStats)                       {}

// benchmarkControlPlane benchmarks go-control-plane. Each subscriber has a snapshot with one assignment of arcSize endpoints, and
// changes are sent as deltas over gRPC. Unlike this project's coordinator, it does not decide which subscribers have a backend: the
// benchmark tells it.
func benchmarkControlPlane(b *testing.B, subscriberCount int) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	snapshots := cache.NewSnapshotCache(false, cache.IDHash{}, nil)
	version := 0
	assign := func(subscriber, excluded int) {
		version++
		assignment := &endpoint.ClusterLoadAssignment{ClusterName: "table"}
		lb := &endpoint.LocalityLbEndpoints{}
		for backend := range backendCount {
			if holds(subscriber, backend) && backend != excluded {
				lb.LbEndpoints = append(lb.LbEndpoints, &endpoint.LbEndpoint{
					LoadBalancingWeight: wrapperspb.UInt32(100),
					HostIdentifier: &endpoint.LbEndpoint_Endpoint{Endpoint: &endpoint.Endpoint{Address: &core.Address{Address: &core.Address_SocketAddress{
						SocketAddress: &core.SocketAddress{Address: "127.0.0.1", PortSpecifier: &core.SocketAddress_PortValue{PortValue: uint32(backend + 1)}},
					}}}},
				})
			}
		}
		assignment.Endpoints = []*endpoint.LocalityLbEndpoints{lb}
		snapshot, err := cache.NewSnapshot(strconv.Itoa(version), map[resource.Type][]types.Resource{resource.EndpointType: {assignment}})
		if err == nil {
			err = snapshots.SetSnapshot(ctx, fmt.Sprint("f", subscriber), snapshot)
		}
		if err != nil {
			b.Fatal(err)
		}
	}
	for i := range subscriberCount {
		assign(i, -1)
	}
	sent := &counter{}
	grpcServer := grpc.NewServer(grpc.StatsHandler(sent), grpc.MaxConcurrentStreams(1e6))
	eds.RegisterEndpointDiscoveryServiceServer(grpcServer, server.NewServer(ctx, snapshots, nil))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	go grpcServer.Serve(listener)
	defer grpcServer.Stop()
	received := make(chan int, subscriberCount)
	for i := range subscriberCount {
		conn, err := grpc.NewClient(listener.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
		if err != nil {
			b.Fatal(err)
		}
		defer conn.Close()
		stream, err := eds.NewEndpointDiscoveryServiceClient(conn).DeltaEndpoints(ctx)
		if err != nil {
			b.Fatal(err)
		}
		err = stream.Send(&discovery.DeltaDiscoveryRequest{Node: &core.Node{Id: fmt.Sprint("f", i)}, TypeUrl: resource.EndpointType, ResourceNamesSubscribe: []string{"table"}})
		if err != nil {
			b.Fatal(err)
		}
		go func() {
			for {
				response, err := stream.Recv()
				if err != nil {
					return
				}
				_ = stream.Send(&discovery.DeltaDiscoveryRequest{TypeUrl: resource.EndpointType, ResponseNonce: response.Nonce})
				received <- i
			}
		}()
	}
	wait := func(want int) {
		for range want {
			select {
			case <-received:
			case <-time.After(20 * time.Second):
				b.Fatal("a change did not reach all subscribers within 20 s")
			}
		}
	}
	wait(subscriberCount)
	time.Sleep(500 * time.Millisecond)
	before := sent.bytes.Load()
	var spent time.Duration
	total := 0
	b.ResetTimer()
	for i := range b.N {
		for _, excluded := range []int{i % backendCount, -1} {
			begin := time.Now()
			want := 0
			for subscriber := range subscriberCount {
				if holds(subscriber, i%backendCount) {
					assign(subscriber, excluded)
					want++
				}
			}
			wait(want)
			if excluded >= 0 {
				spent += time.Since(begin)
				total += want
			}
			time.Sleep(30 * time.Millisecond)
		}
	}
	b.StopTimer()
	report(b, spent, int(sent.bytes.Load()-before)/2, total)
}
