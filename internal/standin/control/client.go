package control

import (
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/sapphirehatch/sapphirehatch/internal/jsonhttp"
	"github.com/sapphirehatch/sapphirehatch/internal/standinapi"
)

// clientTimeout bounds one call of a Client.
const clientTimeout = 10 * time.Second

// Client is a client of a stand-in's control interface.
type Client struct {
	http    *jsonhttp.Client
	address string
}

// NewClient returns a client of the control interface at address, an ip:port.
func NewClient(address string) *Client {
	return &Client{http: jsonhttp.NewClient(clientTimeout, nil), address: address}
}

// SetFault switches a fault on or off.
func (c *Client) SetFault(fault standinapi.Fault) error {
	_, err := c.http.Do(fasthttp.MethodPost, c.url(standinapi.PathFault), fault, nil)
	return err
}

// Log returns the execution log without its first after entries.
func (c *Client) Log(after int) ([]standinapi.LogEntry, error) {
	var response standinapi.LogResponse
	_, err := c.http.Do(fasthttp.MethodGet, c.url(standinapi.PathLog)+"?after="+strconv.Itoa(after), nil, &response)
	return response.Entries, err
}

// Counters returns the counters of a platform or an upstream.
func (c *Client) Counters() (standinapi.CountersResponse, error) {
	var response standinapi.CountersResponse
	_, err := c.http.Do(fasthttp.MethodGet, c.url(standinapi.PathCounters), nil, &response)
	return response, err
}

// Results returns the results of a trainer.
func (c *Client) Results() (standinapi.TrainerResults, error) {
	var response standinapi.TrainerResults
	_, err := c.http.Do(fasthttp.MethodGet, c.url(standinapi.PathResults), nil, &response)
	return response, err
}

func (c *Client) url(path string) string { return "http://" + c.address + path }
