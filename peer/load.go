package peer

import (
	"fmt"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/gin-gonic/gin"

	"lemonstream.dev/lemonstream/job"
	"lemonstream.dev/lemonstream/owner"
	"lemonstream.dev/lemonstream/shard"
)

// pathLoadCompact serves a load in the compact CBOR form below; pathLoad serves JSON to entries
// of earlier versions. The instance controller requests the load of every service five times a
// second. JSON takes 170 B per worker: with 145 workers that is 123 kB/s, half of a 2 Mbit/s link.
const pathLoadCompact = "/v2/load"

// contentCBOR is the content type of the compact form.
const contentCBOR = "application/cbor"

// Bits of workerBody.Flags.
const (
	flagClosed uint8 = 1 << iota
	flagDraining
	flagKnown
	flagReached
	flagEjected
	flagGiveBack
)

// roomBody encodes a job.Room.
type roomBody struct {
	_            struct{} `cbor:",toarray"`
	MilliCPU     int
	MemoryMB     int
	Accelerators int
}

// workerBody encodes a shard.WorkerLoad.
type workerBody struct {
	_       struct{} `cbor:",toarray"`
	ID      string
	Flags   uint8
	Runs    int
	Lasting int
	Used    roomBody

	// BusyMillis is truncated to whole milliseconds.
	BusyMillis int64
}

// loadBody encodes a shard.Load.
type loadBody struct {
	Used     roomBody            `cbor:"1,keyasint"`
	Waiting  roomBody            `cbor:"2,keyasint"`
	Coming   roomBody            `cbor:"3,keyasint"`
	Lasting  roomBody            `cbor:"4,keyasint"`
	Spread   int                 `cbor:"5,keyasint"`
	Labelled map[string]roomBody `cbor:"6,keyasint,omitempty"`
	Workers  []workerBody        `cbor:"7,keyasint"`

	Late       roomBody `cbor:"8,keyasint"`
	LateComing roomBody `cbor:"9,keyasint"`

	// Fence is the owner's fencing token. Entries of earlier versions don't send it.
	Fence int64 `cbor:"12,keyasint,omitempty"`

	// Room is not sent by entries of earlier versions.
	Room roomBody `cbor:"10,keyasint"`

	// Born maps closed workers to the start of their incarnations, in milliseconds since the
	// Unix epoch. Workers whose start is unknown are omitted.
	Born map[string]int64 `cbor:"11,keyasint,omitempty"`
}

// EncodeLoad encodes a load in the compact form.
func EncodeLoad(load shard.Load) ([]byte, error) {
	body := loadBody{
		Fence:    load.Fence,
		Used:     roomBodyOf(load.Used),
		Waiting:  roomBodyOf(load.Waiting),
		Coming:   roomBodyOf(load.Coming),
		Lasting:  roomBodyOf(load.Lasting),
		Spread:   load.Spread,
		Labelled: make(map[string]roomBody, len(load.Labelled)),
		Workers:  make([]workerBody, 0, len(load.Workers)),

		Late:       roomBodyOf(load.Late),
		LateComing: roomBodyOf(load.LateComing),
		Room:       roomBodyOf(load.Room),
	}
	for label, room := range load.Labelled {
		body.Labelled[label] = roomBodyOf(room)
	}
	for id, w := range load.Workers {
		if !w.Born.IsZero() {
			if body.Born == nil {
				body.Born = make(map[string]int64)
			}
			body.Born[id] = w.Born.UnixMilli()
		}
		body.Workers = append(body.Workers, workerBody{
			ID:         id,
			Flags:      flagsOf(w),
			Runs:       w.Runs,
			Lasting:    w.Lasting,
			Used:       roomBodyOf(w.Used),
			BusyMillis: w.Busy.Milliseconds(),
		})
	}
	encoded, err := cbor.Marshal(body)
	if err != nil {
		return nil, fmt.Errorf("encoding a load: %w", err)
	}
	return encoded, nil
}

// DecodeLoad decodes a load from the compact form.
func DecodeLoad(encoded []byte) (shard.Load, error) {
	var body loadBody
	if err := cbor.Unmarshal(encoded, &body); err != nil {
		return shard.Load{}, fmt.Errorf("decoding a load: %w", err)
	}
	load := shard.Load{
		Fence:    body.Fence,
		Used:     body.Used.room(),
		Waiting:  body.Waiting.room(),
		Coming:   body.Coming.room(),
		Lasting:  body.Lasting.room(),
		Spread:   body.Spread,
		Labelled: make(map[string]job.Room, len(body.Labelled)),
		Workers:  make(map[string]shard.WorkerLoad, len(body.Workers)),

		Late:       body.Late.room(),
		LateComing: body.LateComing.room(),
		Room:       body.Room.room(),
	}
	for label, room := range body.Labelled {
		load.Labelled[label] = room.room()
	}
	for _, w := range body.Workers {
		var born time.Time
		if ms, found := body.Born[w.ID]; found {
			born = time.UnixMilli(ms)
		}
		load.Workers[w.ID] = shard.WorkerLoad{
			Born:     born,
			Runs:     w.Runs,
			Lasting:  w.Lasting,
			Used:     w.Used.room(),
			Busy:     time.Duration(w.BusyMillis) * time.Millisecond,
			Closed:   w.Flags&flagClosed != 0,
			Draining: w.Flags&flagDraining != 0,
			Known:    w.Flags&flagKnown != 0,
			Reached:  w.Flags&flagReached != 0,
			Ejected:  w.Flags&flagEjected != 0,
			GiveBack: w.Flags&flagGiveBack != 0,
		}
	}
	return load, nil
}

// flagsOf returns the bits of workerBody.Flags for a worker.
func flagsOf(w shard.WorkerLoad) uint8 {
	flags := uint8(0)
	for flag, set := range map[uint8]bool{
		flagClosed:   w.Closed,
		flagDraining: w.Draining,
		flagKnown:    w.Known,
		flagReached:  w.Reached,
		flagEjected:  w.Ejected,
		flagGiveBack: w.GiveBack,
	} {
		if set {
			flags |= flag
		}
	}
	return flags
}

func roomBodyOf(room job.Room) roomBody {
	return roomBody{
		MilliCPU:     room.MilliCPU,
		MemoryMB:     room.MemoryMB,
		Accelerators: room.Accelerators,
	}
}

func (r roomBody) room() job.Room {
	return job.Room{
		MilliCPU:     r.MilliCPU,
		MemoryMB:     r.MemoryMB,
		Accelerators: r.Accelerators,
	}
}

// load handles a load request of an entry of an earlier version; the answer is JSON.
func (s *Server) load(c *gin.Context, duty *owner.Duty) {
	if load, ok := s.exchangeLoad(c, duty); ok {
		c.JSON(http.StatusOK, load)
	}
}

// loadCompact handles a load request; the answer is in the compact form.
func (s *Server) loadCompact(c *gin.Context, duty *owner.Duty) {
	load, ok := s.exchangeLoad(c, duty)
	if !ok {
		return
	}
	body, err := EncodeLoad(load)
	if err != nil {
		c.String(http.StatusInternalServerError, err.Error())
		return
	}
	c.Data(http.StatusOK, contentCBOR, body)
}
