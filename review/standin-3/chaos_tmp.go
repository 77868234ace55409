package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["chaos"] = chaos }

type proxy struct {
	l     net.Listener
	to    string
	mu    sync.Mutex
	mode  string
	conns map[net.Conn]bool
}

func newProxy(addr, to string) *proxy {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		panic(err)
	}
	p := &proxy{l: l, to: to, conns: map[net.Conn]bool{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p
}

func (p *proxy) get() string { p.mu.Lock(); defer p.mu.Unlock(); return p.mode }

func (p *proxy) serve(c net.Conn) {
	s, err := net.Dial("tcp", p.to)
	if err != nil {
		c.Close()
		return
	}
	p.mu.Lock()
	p.conns[c], p.conns[s] = true, true
	p.mu.Unlock()
	cp := func(dst, src net.Conn, back bool) {
		buf := make([]byte, 4096)
		for {
			n, err := src.Read(buf)
			if n > 0 {
				switch m := p.get(); {
				case back && m == "lose" && rand.Float64() < .1:
					c.(*net.TCPConn).SetLinger(0)
					c.Close()
					s.Close()
					return
				case !back && m == "losefwd" && rand.Float64() < .1:
					c.(*net.TCPConn).SetLinger(0)
					c.Close()
					s.Close()
					return
				case m == "half" && rand.Float64() < .05:
					dst.Write(buf[:n/2])
					c.Close()
					s.Close()
					return
				case m == "delay":
					time.Sleep(time.Duration(rand.IntN(300)) * time.Millisecond)
				case back && m == "dup" && rand.Float64() < .2:
					dst.Write(buf[:n])
				}
				if _, err := dst.Write(buf[:n]); err != nil {
					break
				}
			}
			if err != nil {
				break
			}
		}
		c.Close()
		s.Close()
		p.mu.Lock()
		delete(p.conns, c)
		delete(p.conns, s)
		p.mu.Unlock()
	}
	go cp(s, c, false)
	cp(c, s, true)
}

func chaos(w *World) int {
	w.LinkMegabits = 100
	w.Store.PutConfig(1, []string{"a", "b"}, []Route{
		{Name: "ra", Host: "a.example", PathPrefix: "/a/", Kind: "idempotent", TimeoutMS: 2000, AimMS: 600, Service: "a", MaxAttempts: 2},
		{Name: "rn", Host: "a.example", PathPrefix: "/n/", Kind: "non_idempotent", TimeoutMS: 2000, AimMS: 600, Service: "a", MaxAttempts: 2},
	})
	places := []Place{{"a", "x"}, {"a", "x"}, {"a", "y"}, {"a", "y"}, {"a", "z"}, {"b", "z"}, {"b", "x"}}
	var proxies []*proxy
	w.Front = func(t *Target, ip string) {
		a := fmt.Sprintf("%s:%d", ip, freePort(ip))
		proxies = append(proxies, newProxy(a, t.Address))
		t.Address = a
	}
	var mu sync.Mutex
	runs := map[string]int{}
	sums := map[string]string{}
	if err := w.Build(places, func(t *Target) {
		t.Work = time.Duration(20+rand.IntN(100)) * time.Millisecond
		t.Handler = func(rw http.ResponseWriter, r *http.Request, t *Target) bool {
			id := r.Header.Get("X-Baobabtide-Request-Id")
			data, err := io.ReadAll(r.Body)
			if err != nil {
				return true
			}
			mu.Lock()
			runs[id]++
			if string(data) != sums[id] {
				fmt.Println("UNASKED body", id, len(data), len(sums[id]))
			}
			n := runs[id]
			mu.Unlock()
			if strings.HasPrefix(r.URL.Path, "/n/") && n > 1 {
				fmt.Println("TWICE", id)
			}
			time.Sleep(t.Work)
			rw.Header().Set("X-Baobabtide-Response-Signature", "sig-"+id)
			io.WriteString(rw, "run "+id)
			return true
		}
	}); err != nil {
		return w.fail("%v", err)
	}
	_ = proxies
	stop := make(chan struct{})
	bad := 0
	load := w.Load(w.Nodes, 3*time.Millisecond, stop, func(n *Node) {
		path, method := "/a/x", http.MethodGet
		body := ""
		if rand.IntN(2) == 0 {
			path, method = "/n/x", http.MethodPost
			body = strings.Repeat(NewID(), rand.IntN(3)*rand.IntN(2000)+1)
		}
		id := NewID()
		mu.Lock()
		sums[id] = body
		mu.Unlock()
		var rd io.Reader
		if body != "" {
			rd = strings.NewReader(body)
			if rand.IntN(3) == 0 {
				rd = io.MultiReader(rd)
			}
		}
		req, _ := http.NewRequest(method, "http://"+n.Outbound+path, rd)
		req.Host = "a.example"
		req.Header.Set("X-Baobabtide-Request-Id", id)
		req.Header.Set("X-Baobabtide-Deadline-Ms", "2500")
		client := http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
		resp, err := client.Do(req)
		if err != nil {
			return
		}
		data, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		if resp.StatusCode == 200 && err == nil && string(data) != "run "+id {
			fmt.Println("MIXED", id, string(data))
			bad++
		}
		if resp.StatusCode == 503 || resp.StatusCode == 429 {
			go func() {
				time.Sleep(5 * time.Second)
				mu.Lock()
				defer mu.Unlock()
				if path == "/n/x" && runs[id] > 0 {
					fmt.Println("REFUSED", id, string(data))
				}
			}()
		}
		mu.Lock()
		runs[fmt.Sprint("status ", resp.StatusCode, path)]++
		mu.Unlock()
	})
	end := time.Now().Add(75 * time.Second)
	for time.Now().Before(end) {
		n := w.Nodes[rand.IntN(len(w.Nodes))]
		p := proxies[rand.IntN(len(proxies))]
		p.mu.Lock()
		p.mode = []string{"", "lose", "losefwd", "half", "delay", "dup"}[rand.IntN(6)]
		p.mu.Unlock()
		switch rand.IntN(4) {
		case 0:
			n.Kill()
			time.Sleep(time.Duration(rand.IntN(700)) * time.Millisecond)
			n.Start()
		case 1:
			n.Signal(syscall.SIGSTOP)
			time.Sleep(time.Duration(rand.IntN(2500)) * time.Millisecond)
			n.Signal(syscall.SIGCONT)
		case 2:
			n.Signal(syscall.SIGTERM)
			select {
			case <-n.Exited():
			case <-time.After(6 * time.Second):
				fmt.Println("still there after 6 s")
				n.Kill()
			}
			n.Start()
		case 3:
			for range 30 {
				n.Signal(syscall.SIGSTOP)
				time.Sleep(time.Duration(rand.IntN(60)) * time.Millisecond)
				n.Signal(syscall.SIGCONT)
				time.Sleep(time.Duration(rand.IntN(30)) * time.Millisecond)
			}
		}
		time.Sleep(time.Duration(rand.IntN(1500)) * time.Millisecond)
	}
	close(stop)
	load.Wait()
	time.Sleep(6 * time.Second)
	mu.Lock()
	for k, v := range runs {
		if strings.HasPrefix(k, "status") {
			fmt.Println(k, v)
		}
	}
	mu.Unlock()
	for _, n := range w.Nodes {
		for _, l := range n.LogLines("panic") {
			fmt.Println(n.Name, l[:min(len(l), 300)])
		}
	}
	return held
}
