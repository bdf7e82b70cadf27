package sizing

import (
	"bufio"
	"bytes"
	"context"
	"net/netip"
	"os/exec"
	"regexp"
	"strconv"
	"strings"
)

// socket is one end of an established TCP connection.
type socket struct {
	pid    int
	remote netip.AddrPort
	// bytes is the number of bytes sent and received.
	bytes float64
}

var (
	socketPID   = regexp.MustCompile(`pid=(\d+)`)
	socketBytes = regexp.MustCompile(`bytes_(?:sent|received):(\d+)`)
)

// remoteField is the index of the remote address in a line of ss -tinpHO.
const remoteField = 4

// listSockets returns the established TCP connections of the user's processes, as
// the command ss lists them.
func listSockets(ctx context.Context) (sockets []socket, err error) {
	data, err := exec.CommandContext(ctx, "ss", "-tinpHO").Output()
	if err != nil {
		return nil, err
	}
	return parseSockets(data), nil
}

func parseSockets(data []byte) (sockets []socket) {
	lines := bufio.NewScanner(bytes.NewReader(data))
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		pid := socketPID.FindStringSubmatch(lines.Text())
		if len(fields) <= remoteField || fields[0] != "ESTAB" || pid == nil {
			continue
		}
		peer, err := netip.ParseAddrPort(fields[remoteField])
		if err != nil {
			continue
		}
		s := socket{remote: netip.AddrPortFrom(peer.Addr().Unmap(), peer.Port())}
		s.pid, _ = strconv.Atoi(pid[1])
		for _, b := range socketBytes.FindAllStringSubmatch(lines.Text(), -1) {
			n, _ := strconv.ParseFloat(b[1], 64)
			s.bytes += n
		}
		sockets = append(sockets, s)
	}
	return sockets
}

// readInterRegion returns the bytes on connections between nodes of different regions,
// and the number of pairs of regions that have such connections.
func (f *fleet) readInterRegion(ctx context.Context) (sum float64, pairs int, err error) {
	sockets, err := listSockets(ctx)
	if err != nil {
		return 0, 0, err
	}
	byPID := make(map[int]*host, len(f.hosts))
	byAddress := make(map[netip.AddrPort]*host, len(f.hosts))
	for _, h := range f.hosts {
		byPID[h.process.command.Process.Pid], byAddress[h.nodeAddr] = h, h
	}
	seen := make(map[[2]string]bool)
	for _, s := range sockets {
		from, to := byPID[s.pid], byAddress[s.remote]
		if from == nil || to == nil || from.place.Region == to.place.Region {
			continue
		}
		sum += s.bytes
		pair := [2]string{string(from.place.Region), string(to.place.Region)}
		seen[[2]string{min(pair[0], pair[1]), max(pair[0], pair[1])}] = true
	}
	return sum, len(seen), nil
}
