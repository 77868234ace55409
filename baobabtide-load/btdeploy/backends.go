package btdeploy

import (
	"bytes"
	"fmt"
	"net/netip"
	"path/filepath"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/baobabtide/baobabtide/baobabtide-standin/btbackendstandin"
	"github.com/baobabtide/baobabtide/baobabtide-standin/btlogstandin"
	"github.com/baobabtide/baobabtide/baobabtide-standin/btrelay"
	"github.com/baobabtide/baobabtide/btcodec"
)

// backendFile is the input file of the baobabtide-standin backend command.
type backendFile struct {
	Servers []btbackendstandin.Spec
}

// StartVersion starts one backend server of a version beside each node of a service,
// Spec.BackendsPerProcess of them in one process. It returns before they are ready.
func (d *Deployment) StartVersion(service, version string, behavior btbackendstandin.Behavior) error {
	var group []*Backend
	for _, n := range d.Nodes {
		if n.Service == service {
			group = append(group, d.newBackend(n, version, behavior))
		}
	}
	size := max(1, d.Spec.BackendsPerProcess)
	for start := 0; start < len(group); start += size {
		if err := d.startBackends(group[start:min(start+size, len(group))]); err != nil {
			return err
		}
	}
	return nil
}

func (d *Deployment) newBackend(n *Node, version string, behavior btbackendstandin.Behavior) *Backend {
	s := d.service(n.Service)
	b := &Backend{Node: n, Spec: btbackendstandin.Spec{
		Name:        fmt.Sprintf("%s-%s", n.Name, version),
		Service:     n.Service,
		Version:     version,
		Listen:      fmt.Sprintf("%s:%d", n.IP, serverPort+len(n.backends)),
		Announce:    fmt.Sprintf("%s:%d", n.IP, backendPort),
		Slots:       s.Slots,
		Connections: s.Connections,
		Work:        s.Work,
		OpenCost:    s.OpenCost,
		ColdStart:   s.ColdStart,
		ColdFactor:  s.ColdFactor,
		Seed:        d.seed + uint64(len(d.backends)),
		Behavior:    behavior,
	}}
	n.backends = append(n.backends, b)
	d.mu.Lock()
	d.backends = append(d.backends, b)
	d.mu.Unlock()
	return b
}

func (d *Deployment) service(name string) Service {
	for _, s := range d.Spec.Services {
		if s.Service == name {
			return s
		}
	}
	return Service{}
}

// startBackends starts one process that runs a group of backend servers.
func (d *Deployment) startBackends(group []*Backend) error {
	var file backendFile
	for _, b := range group {
		file.Servers = append(file.Servers, b.Spec)
	}
	name := "backend-" + group[0].Spec.Name
	path := filepath.Join(d.Dir, name+".json")
	if err := writeJSON(path, file); err != nil {
		return err
	}
	p, err := d.starter.start(d.Dir, name, filepath.Join(d.bin, "baobabtide-standin"), "backend", path)
	if err != nil {
		return err
	}
	for _, b := range group {
		b.process = p
	}
	return nil
}

// Backends returns all backend servers started so far, also those that have
// ended.
func (d *Deployment) Backends() []*Backend {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]*Backend(nil), d.backends...)
}

// KillBackend kills a backend server's process, and with it every other backend
// server in the same process.
func (d *Deployment) KillBackend(b *Backend) { b.process.kill() }

// Running reports whether the backend server's process is running.
func (b *Backend) Running() bool { return b.process != nil && b.process.running() }

// Report returns the backend server's report of the requests that it received. It fails
// if the backend server does not respond.
func (b *Backend) Report() (*btbackendstandin.Report, error) {
	report, err := get[btbackendstandin.Report]("http://" + b.Spec.Listen + btbackendstandin.ReportPath)
	if err != nil {
		return nil, fmt.Errorf("report of %s: %w", b.Spec.Name, err)
	}
	return report, nil
}

// SetBehavior replaces the faults that the backend server simulates. It fails if the
// backend server does not respond.
func (b *Backend) SetBehavior(behavior btbackendstandin.Behavior) error {
	return post("http://"+b.Spec.Listen+btbackendstandin.ControlPath, behavior)
}

// SetLogFaults replaces the faults that the log simulates. It fails if the log does not
// respond.
func (d *Deployment) SetLogFaults(faults btlogstandin.Faults) error {
	return post("http://"+d.LogAddress()+btlogstandin.ControlPath, faults)
}

// Acks returns the appends to the configuration stream that the log has acknowledged. It
// fails if the log does not respond.
func (d *Deployment) Acks() ([]btlogstandin.Ack, error) {
	report, err := get[btlogstandin.Report]("http://" + d.LogAddress() + btlogstandin.ControlPath)
	if err != nil {
		return nil, fmt.Errorf("acknowledged appends: %w", err)
	}
	return report.Acks, nil
}

// ReadsLog reports whether the node says in its metrics that it reads the log. It returns
// false if the node does not respond within metricsTimeout.
func (n *Node) ReadsLog() bool {
	status, body, err := fasthttp.GetTimeout(nil, fmt.Sprintf("http://%s:%d/metrics", n.IP, metricsPort), metricsTimeout)
	return err == nil && status == fasthttp.StatusOK && bytes.Contains(body, []byte("\nbaobabtide_log_reader 1\n"))
}

// SetRules replaces the rules of the relay. It fails if the deployment has no
// relay. The limits of Service.LinkRate remain in force, after the rules.
func (d *Deployment) SetRules(rules []btrelay.Rule) error {
	limits, err := d.limits()
	if err != nil {
		return err
	}
	return post("http://"+d.relayControl(), btrelay.Rules{Rules: append(rules, limits...)})
}

// AnyAddress returns the range of all addresses.
func AnyAddress() netip.Prefix { return netip.PrefixFrom(netip.IPv4Unspecified(), 0) }

// HasLimits reports whether a service has a LinkRate.
func (d *Deployment) HasLimits() bool {
	return slices.ContainsFunc(d.Spec.Services, func(s Service) bool { return s.LinkRate > 0 })
}

// limits returns the rules for the links of nodes beside services with a LinkRate.
func (d *Deployment) limits() ([]btrelay.Rule, error) {
	var rules []btrelay.Rule
	for _, n := range d.Nodes {
		rate := d.service(n.Service).LinkRate
		if rate == 0 {
			continue
		}
		address, err := netip.ParseAddr(n.IP)
		if err != nil {
			return nil, fmt.Errorf("address of node %s: %w", n.Name, err)
		}
		rules = append(rules, btrelay.Rule{From: netip.PrefixFrom(address, address.BitLen()), To: AnyAddress(), Mode: btrelay.Limit, Rate: rate})
	}
	return rules, nil
}

// setLimits puts the limits into force once the relay's control interface responds. It
// fails if that takes longer than readyTimeout.
func (d *Deployment) setLimits() error {
	for deadline := time.Now().Add(readyTimeout); ; time.Sleep(relayPollPeriod) {
		err := d.SetRules(nil)
		if err == nil || time.Now().After(deadline) {
			return err
		}
	}
}

// Queues returns the use of the limited links. It fails if the relay does not respond.
func (d *Deployment) Queues() ([]btrelay.QueueReport, error) {
	reports, err := get[btrelay.QueueReports]("http://" + d.relayControl())
	if err != nil {
		return nil, fmt.Errorf("queues of the relay: %w", err)
	}
	return reports.Queues, nil
}

// get returns the JSON body of a response. It fails if there is no response or its status
// is not 2xx.
func get[T any](url string) (*T, error) {
	body, err := do(fasthttp.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	return btcodec.DecodeJSON[T](body)
}

// post sends v as JSON. It fails if there is no response or its status is not 2xx.
func post(url string, v any) error {
	data, err := btcodec.EncodeJSON(v)
	if err != nil {
		return fmt.Errorf("encode body for %s: %w", url, err)
	}
	_, err = do(fasthttp.MethodPost, url, data)
	return err
}

// do returns the body of the response to a request.
func do(method, url string, body []byte) ([]byte, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI(url)
	req.SetBodyRaw(body)
	req.SetConnectionClose() // a stand-in that crashes or ends would break a kept connection
	if err := fasthttp.Do(req, resp); err != nil {
		return nil, fmt.Errorf("%s to %s: %w", method, url, err)
	}
	if resp.StatusCode()/100 != 2 {
		return nil, fmt.Errorf("%s to %s: status %d: %s", method, url, resp.StatusCode(), resp.Body())
	}
	return slices.Clone(resp.Body()), nil
}
