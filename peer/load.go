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

// pathLoadCompact asks for a load in the compact form below; pathLoad answers entries of
// earlier versions. The owner of the instances asks every service five times a second: of
// 145 workers the first form takes 170 B each, 123 kB a second, half of a link of 2
// Mbit/s.
const pathLoadCompact = "/v2/load"

// contentCBOR is the kind of the compact body.
const contentCBOR = "application/cbor"

// Flags of a worker.
const (
	flagClosed uint8 = 1 << iota
	flagDraining
	flagKnown
	flagReached
)

// roomBody is a job.Room on the wire.
type roomBody struct {
	_            struct{} `cbor:",toarray"`
	MilliCPU     int
	MemoryMB     int
	Accelerators int
}

// workerBody is a shard.WorkerLoad on the wire.
type workerBody struct {
	_       struct{} `cbor:",toarray"`
	ID      string
	Flags   uint8
	Runs    int
	Lasting int
	Used    roomBody

	// BusyMillis is cut to milliseconds.
	BusyMillis int64
}

// loadBody is a shard.Load on the wire.
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

	// Fence is missing in what entries of earlier versions send.
	Fence int64 `cbor:"12,keyasint,omitempty"`

	// Room is missing in what entries of earlier versions send.
	Room roomBody `cbor:"10,keyasint"`

	// Born holds, by worker, when the incarnations of closed ones began, in milliseconds
	// since 1970; those that are not known are missing.
	Born map[string]int64 `cbor:"11,keyasint,omitempty"`
}

// EncodeLoad writes a load in its compact form.
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

// DecodeLoad reads the compact form.
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
		if ms, told := body.Born[w.ID]; told {
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
		}
	}
	return load, nil
}

// flagsOf returns the flags of a worker.
func flagsOf(w shard.WorkerLoad) uint8 {
	flags := uint8(0)
	for flag, set := range map[uint8]bool{
		flagClosed:   w.Closed,
		flagDraining: w.Draining,
		flagKnown:    w.Known,
		flagReached:  w.Reached,
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

// load answers a question for the load of a service in the form of earlier versions.
func (s *Server) load(c *gin.Context, duty *owner.Duty) {
	if load, ok := s.loadOf(c, duty); ok {
		c.JSON(http.StatusOK, load)
	}
}

// loadCompact answers it in the compact form.
func (s *Server) loadCompact(c *gin.Context, duty *owner.Duty) {
	load, ok := s.loadOf(c, duty)
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
