"""What a response costs by the size of its chunks: memory and processor time for each MB received.

python benchmarks/response_chunks.py
"""

import time
import tracemalloc

from radishmount.platform._backend_response import ResponseReader


HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
RECEIVED_BYTES = 4 * 1024 * 1024
READ_BYTES = 65_536
CHUNK_SIZES = (1, 2, 4, 16, 64, 256, 1_024, 4_096, 16_384, 65_536)


def receive(chunk_bytes: int) -> tuple[int, str]:
    """Feed a reader until it rejects the body or has `RECEIVED_BYTES`; return how far it came."""
    chunk = b"%x\r\n%b\r\n" % (chunk_bytes, b"a" * chunk_bytes)
    piece = chunk * max(1, READ_BYTES // len(chunk))
    reader = ResponseReader(RECEIVED_BYTES, has_body=True)
    reader.feed(HEAD)
    received = 0
    while reader.rejection is None and received < RECEIVED_BYTES:
        reader.feed(piece)
        received += len(piece)
    return received, reader.rejection or "taken"


def main() -> None:
    """Print a row for each size of chunks."""
    print("chunk bytes  received MB  peak MB  CPU ms for each MB  result")
    for chunk_bytes in CHUNK_SIZES:
        started_s = time.process_time()
        received, result = receive(chunk_bytes)
        cpu_ms = (time.process_time() - started_s) * 1_000.0
        tracemalloc.start()
        receive(chunk_bytes)
        peak_mb = tracemalloc.get_traced_memory()[1] / 1e6
        tracemalloc.stop()
        received_mb = received / 1e6
        row = f"{chunk_bytes:11} {received_mb:12.2f} {peak_mb:8.2f} {cpu_ms / received_mb:19.2f}"
        print(f"{row}  {result}")


if __name__ == "__main__":
    main()
