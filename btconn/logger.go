package btconn

// QuietLogger discards the log messages of a fasthttp server about broken
// connections, because whoever uses the server reports them itself.
type QuietLogger struct{}

// Printf implements fasthttp.Logger. It discards the message.
func (QuietLogger) Printf(string, ...any) {}
