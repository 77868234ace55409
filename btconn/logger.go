package btconn

// QuietLogger drops fasthttp's own messages about broken connections, which
// the caller of the server reports itself.
type QuietLogger struct{}

// Printf implements fasthttp.Logger.
func (QuietLogger) Printf(string, ...any) {}
