"""A purge is told while the connection for an attempt comes up late. The router was started with an earlier purge among `known`."""

import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))
from standins import TROUBLE, Board, CacheServer, Client, Held, answer, main, new_id, node_file, now, rule, settings, wait_until

GRACE_S = 0.5 + 0.05  # familyInfo.noticeTimeUs, and the 50 ms by which each time limit grows on sockets
COME_UP_S = 0.6  # when the cache server takes connections again; the system asks again 1 s after the first time
PURGE_AFTER_S = 0.15  # the purge is told that long after the request was sent


class Copies:
    """What the origin holds, and the copies that the cache keeps: when the origin gave each out."""

    def __init__(self):
        self.lock, self.kept, self.served = threading.Lock(), {}, []

    def handle(self, want) -> None:
        """Answers from the kept copy where one will do by `within`, else from a fresh one, as a miss that was filled."""
        at, item = now(), want.fields["item"]
        time.sleep(0.005)
        with self.lock:
            issued = self.kept.get(item)
            within = int(want.fields.get("within", 0)) / 1000
            hit = issued is not None and (not within or at - issued <= within)
            if not hit:
                issued = self.kept[item] = at
            self.served.append((want, issued))
        want.server.record(
            f"{want.server.name} gets {want.ident} {want.fields}; first byte {want.began - want.server.record.began:.4f}; "
            f"{'a copy that it keeps' if hit else 'a new copy'}, issued {issued - want.server.record.began:.4f}"
        )
        note = "TCP_HIT" if hit else "TCP_MISS_ROOT"
        body = b"%s issued %d" % (item.encode(), int(issued * 1000))
        answer(want, "ACK", f"entity={item[:8]}{int(issued * 1000):x},issued={int(issued * 1000)},tell={note}", body)


def request(item: str, group: int) -> dict:
    return {"verb": "media", "txn": new_id(), "limit": "5000", "item": item, "slice": "0", "set": str(group), "ram": "1100"}


def play(case) -> str:
    record, board, copies = case.record, Board(case.record), Copies()
    cache = CacheServer(record, "s-cache", copies.handle, late=TROUBLE)
    origin = CacheServer(record, "s-origin", copies.handle)
    board.list([cache.row(), origin.row("origin")], snapshot=True)
    board.add({"flush": {"asset": new_id(), "ms": int(now() * 1000)}})  # of another object, before the router starts
    site = settings([rule("media", "idempotent", 5000, memorySpanUs=0)], allowed={"connectTimeoutUs": 1_500_000})
    router = case.router("n1", node_file(board, site))
    item, group = new_id(), 17
    copies.kept[item] = now() - 2.0
    router.start()
    router.wait_ready()
    wait_until(lambda: "event=ready" in router.log_text(), "the line `ready`")
    time.sleep(1.2)
    client = Client(router)
    sent = client.request(1, request(item, group))
    record("client asks for the object")
    time.sleep(PURGE_AFTER_S)
    told = board.add({"flush": {"asset": item, "ms": int(now() * 1000)}})
    if TROUBLE:
        time.sleep(max(0.0, sent + COME_UP_S - now()))
        cache.come_up()
    reply = client.wait_answer(1, 6.0)
    if reply is None:
        raise Held("no answer at all")
    record(f"client is told {reply.word}: {reply.body!r}")
    if not copies.served:
        raise Held("nothing reached the cache server")
    for want, issued in copies.served:
        after = want.began - told
        record(f"attempt {want.ident}: its first byte came {after:.3f} s after the purge was told, its copy was issued {told - issued:.3f} s before")
        if want.fields["item"] == item and after > GRACE_S and issued < told:
            return (
                f"an attempt begun {after:.3f} s after the purge of its object was told (grace {GRACE_S:g} s) "
                f"was answered from a copy {told - issued:.3f} s older than the purge; the client got it as {reply.word}"
            )
    return ""


if __name__ == "__main__":
    main(str(Path(__file__).resolve().parent), play)
