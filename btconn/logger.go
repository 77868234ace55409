package btconn

// QuietLogger discards the log messages of a fasthttp server about broken
// connections, because the packages that use the server report them themselves.
type QuietLogger struct{}

// Printf implements fasthttp.Logger. It discards the message.
func (QuietLogger) Printf(string, ...any) {}
