package haproxy

// option is a word of a server line: how many values follow it, and what becomes of it.
type option struct {
	args  int
	class Class
	why   string
}

const (
	checks  = "the coordinator judges servers by what proxies meet there, and probes those that are silent"
	tls     = "our proxies' own connections to servers"
	sticky  = "nothing is bound to a server by a cookie"
	naming  = "names are not resolved by the coordinator: the list service's matter"
	reuse   = "how connections are kept is our proxies' own matter"
	logging = "our proxies' own logging"
	http    = "our proxies' own handling of HTTP"
	tcp     = "our proxies' own handling of connections"
)

// serverOptions are the words of a server line (manual, 5.2).
var serverOptions = map[string]option{
	"weight": {1, Carried, ""}, "disabled": {0, Carried, "not listed: it gets nothing"}, "enabled": {0, Carried, ""},
	"backup":    {0, Differs, "not listed while others are in use; the coordinator does not bring it in by itself"},
	"id":        {1, Differs, "checked; our numbers go by the order of the servers' names"},
	"slowstart": {1, Differs, "servers climb over the fleet's warm-after, one for all"},
	"track":     {1, Dropped, checks}, "check": {0, Dropped, checks}, "inter": {1, Dropped, checks}, "fastinter": {1, Dropped, checks},
	"downinter": {1, Dropped, checks}, "fall": {1, Dropped, checks}, "rise": {1, Dropped, checks}, "port": {1, Dropped, checks},
	"addr": {1, Dropped, checks}, "init-state": {1, Dropped, checks}, "observe": {1, Dropped, checks}, "on-error": {1, Dropped, checks},
	"error-limit": {1, Dropped, checks}, "on-marked-down": {1, Dropped, checks}, "on-marked-up": {1, Dropped, checks},
	"check-ssl": {0, Dropped, checks}, "check-sni": {1, Dropped, checks}, "check-alpn": {1, Dropped, checks}, "check-proto": {1, Dropped, checks},
	"check-send-proxy": {0, Dropped, checks}, "check-via-socks4": {0, Dropped, checks}, "agent-check": {0, Dropped, checks}, "agent-port": {1, Dropped, checks},
	"agent-addr": {1, Dropped, checks}, "agent-inter": {1, Dropped, checks}, "agent-send": {1, Dropped, checks},
	"maxconn":  {1, Dropped, "levels are shares of a method's RPCs, not counts of connections"},
	"minconn":  {1, Dropped, "levels are shares of a method's RPCs, not counts of connections"},
	"maxqueue": {1, Dropped, "our proxies hold no queue for a server"},
	"cookie":   {1, Dropped, sticky}, "redir": {1, Dropped, http}, "ssl": {0, Dropped, tls}, "verify": {1, Dropped, tls}, "verifyhost": {1, Dropped, tls},
	"ca-file": {1, Dropped, tls}, "crt": {1, Dropped, tls}, "crl-file": {1, Dropped, tls}, "sni": {1, Dropped, tls}, "alpn": {1, Dropped, tls}, "npn": {1, Dropped, tls},
	"ciphers": {1, Dropped, tls}, "ciphersuites": {1, Dropped, tls}, "curves": {1, Dropped, tls}, "sigalgs": {1, Dropped, tls}, "ssl-min-ver": {1, Dropped, tls}, "ssl-max-ver": {1, Dropped, tls},
	"force-tlsv12": {0, Dropped, tls}, "force-tlsv13": {0, Dropped, tls}, "allow-0rtt": {0, Dropped, tls}, "ssl-reuse": {0, Dropped, tls}, "tls-tickets": {0, Dropped, tls},
	"send-proxy": {0, Dropped, tcp}, "send-proxy-v2": {0, Dropped, tcp}, "send-proxy-v2-ssl": {0, Dropped, tcp}, "send-proxy-v2-ssl-cn": {0, Dropped, tcp},
	"proxy-v2-options": {1, Dropped, tcp}, "tfo": {0, Dropped, tcp}, "namespace": {1, Dropped, tcp}, "source": {1, Dropped, tcp}, "interface": {1, Dropped, tcp},
	"socks4": {1, Dropped, tcp}, "tcp-ut": {1, Dropped, tcp}, "tcp-md5sig": {1, Dropped, tcp}, "mptcp": {0, Dropped, tcp}, "shard": {1, Dropped, tcp},
	"resolvers": {1, Dropped, naming}, "init-addr": {1, Dropped, naming}, "resolve-prefer": {1, Dropped, naming}, "resolve-net": {1, Dropped, naming}, "resolve-opts": {1, Dropped, naming},
	"pool-max-conn": {1, Dropped, reuse}, "pool-purge-delay": {1, Dropped, reuse}, "pool-low-conn": {1, Dropped, reuse}, "max-reuse": {1, Dropped, reuse}, "pool-conn-name": {1, Dropped, reuse},
	"proto": {1, Dropped, http}, "ws": {1, Dropped, http}, "log-proto": {1, Dropped, logging}, "log-bufsize": {1, Dropped, logging}, "guid": {1, Dropped, "for display only"},
	"hash-key": {1, Dropped, "our ring hashes servers by their numbers"},
}

// elsewhere are keywords of proxy sections that are known and not carried, each with the reason.
var elsewhere = map[string]string{
	"log": logging, "log-format": logging, "log-format-sd": logging, "log-tag": logging, "log-steps": logging, "error-log-format": logging, "unique-id-format": logging, "unique-id-header": logging,
	"capture": logging, "declare": logging, "http-request": http, "http-response": http, "http-after-response": http, "http-error": http, "http-reuse": reuse, "http-send-name-header": http,
	"http-check": checks, "tcp-check": checks, "external-check": checks, "tcp-request": tcp, "tcp-response": tcp, "quic-initial": tcp, "redirect": http, "errorfile": http, "errorfiles": http, "errorloc": http,
	"errorloc302": http, "errorloc303": http, "compression": http, "filter": http, "monitor": http, "monitor-uri": http, "monitor-net": http, "dispatch": "a proxy without servers' names is not carried",
	"cookie": sticky, "appsession": sticky, "persist": sticky, "force-persist": sticky, "ignore-persist": sticky, "stick": sticky, "stats": "our own status takes its place",
	"enabled": "it changes nothing here", "disabled": "a proxy that is disabled: leave it out of the import", "backlog": tcp, "bind-process": tcp, "source": tcp, "transparent": tcp, "grace": "our drains have their own grace",
	"hash-balance-factor": "our arcs bound what a server takes by themselves", "load-server-state-from-file": "what is drained is kept by the coordinator", "server-state-file-name": "what is drained is kept by the coordinator",
	"email-alert": "no mail is sent", "max-keep-alive-queue": reuse, "clitcpka-cnt": tcp, "clitcpka-idle": tcp,
	"clitcpka-intvl": tcp, "srvtcpka-cnt": tcp, "srvtcpka-idle": tcp, "srvtcpka-intvl": tcp, "max-session-srv-conns": reuse, "use-fcgi-app": http, "guid": "for display only",
	"crt": tls, "ssl-f-use": tls, "force-be-switch": "a pool that is disabled gets nothing",
}
