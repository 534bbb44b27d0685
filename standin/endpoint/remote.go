package endpoint

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/carobwharf/carobwharf/peer/platform/wire"
	"github.com/carobwharf/carobwharf/structs"
)

// remoteTimeout limits one control call to another stand-in.
const remoteTimeout = 5 * time.Second

// RegisterVMs replaces the VM list of the platform stand-in at addr.
func RegisterVMs(addr string, vms []structs.VM) error {
	return post(addr, wire.PathVMs, vms)
}

// SetRemoteDown sets the fault switch Down of one endpoint of the stand-in whose
// control address is addr.
func SetRemoteDown(addr, vm string, down bool) error {
	faults, err := json.Marshal(map[string]bool{"down": down})
	if err != nil {
		return err
	}
	return post(addr, "/faults", Change{Endpoint: vm, Faults: faults})
}

func post(addr, path string, body any) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + addr + path)
	if err := json.NewEncoder(req.BodyWriter()).Encode(body); err != nil {
		return err
	}
	if err := fasthttp.DoTimeout(req, resp, remoteTimeout); err != nil {
		return fmt.Errorf("%s%s: %w", addr, path, err)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return fmt.Errorf("%s%s: status %d: %s", addr, path, resp.StatusCode(), resp.Body())
	}
	return nil
}
