// Digests, updates and their parts on the wire.
#include "chervilturn/transport/settings_codec.hpp"

#include "chervilturn/transport/wire_values.hpp"

namespace chervilturn::internal {

namespace {

void write_snapshot(wire::SubtreeUpdate::Builder target, const subtree_snapshot& snapshot) {
    target.setSubtree(to_text(snapshot.subtree));
    target.setRevision(snapshot.revision);
    target.setComplete(snapshot.complete);
    auto list = target.initLeaves(static_cast<unsigned>(snapshot.leaves.size()));
    for (std::size_t index = 0; index < snapshot.leaves.size(); ++index) {
        auto item = list[static_cast<unsigned>(index)];
        item.setPath(to_text(snapshot.leaves[index].path));
        item.setRevision(snapshot.leaves[index].revision);
        item.setRemoved(snapshot.leaves[index].removed);
        item.setValue(to_text(snapshot.leaves[index].value));
        item.setVersion(snapshot.leaves[index].version);
    }
}

[[nodiscard]] subtree_snapshot read_snapshot(wire::SubtreeUpdate::Reader source) {
    subtree_snapshot snapshot{.subtree = from_text(source.getSubtree()),
                              .revision = source.getRevision(),
                              .complete = source.getComplete(),
                              .leaves = {}};
    for (const auto item : source.getLeaves()) {
        snapshot.leaves.push_back({.path = from_text(item.getPath()),
                                   .revision = item.getRevision(),
                                   .removed = item.getRemoved(),
                                   .value = from_text(item.getValue()),
                                   .version = item.getVersion()});
    }
    return snapshot;
}

} // namespace

void write_digest(wire::Digest::Builder target, const subscription& outgoing) {
    const auto& revisions = outgoing.revisions;
    target.setNonce(outgoing.nonce);
    target.setFollow(outgoing.follow);
    target.setAcceptsParts(outgoing.accepts_parts);
    target.setEnds(outgoing.ends);
    auto list = target.initSubtrees(static_cast<unsigned>(revisions.size()));
    for (std::size_t index = 0; index < revisions.size(); ++index) {
        auto item = list[static_cast<unsigned>(index)];
        item.setSubtree(to_text(revisions[index].subtree));
        item.setRevision(revisions[index].revision);
        item.setVersion(revisions[index].version);
        item.setContent(revisions[index].content);
    }
}

subscription read_digest(wire::Digest::Reader source) {
    subscription received{.revisions = {},
                          .nonce = source.getNonce(),
                          .follow = source.getFollow(),
                          .accepts_parts = source.getAcceptsParts(),
                          .ends = source.getEnds()};
    for (const auto item : source.getSubtrees()) {
        received.revisions.push_back(
            {from_text(item.getSubtree()), item.getRevision(), item.getVersion(), item.getContent()});
    }
    return received;
}

void write_update(wire::Update::Builder target, const settings_update& outgoing) {
    target.setNonce(outgoing.nonce);
    auto list = target.initSubtrees(static_cast<unsigned>(outgoing.subtrees.size()));
    for (std::size_t index = 0; index < outgoing.subtrees.size(); ++index) {
        write_snapshot(list[static_cast<unsigned>(index)], outgoing.subtrees[index]);
    }
}

settings_update read_update(wire::Update::Reader source) {
    settings_update update{.subtrees = {}, .nonce = source.getNonce()};
    for (const auto item : source.getSubtrees()) {
        update.subtrees.push_back(read_snapshot(item));
    }
    return update;
}

void write_comparison(wire::Comparison::Builder target, const comparison& outgoing) {
    target.setState(outgoing.state);
    target.setReadsPlatform(outgoing.reads_platform);
    target.setReadInstead(outgoing.read_instead);
}

comparison read_comparison(wire::Comparison::Reader source) {
    return {.state = source.getState(),
            .reads_platform = source.getReadsPlatform(),
            .read_instead = source.getReadInstead()};
}

void write_part(wire::UpdatePart::Builder target, const update_part& outgoing) {
    target.setTransfer(outgoing.transfer);
    target.setOffset(outgoing.offset);
    target.setTotal(outgoing.total);
    target.setBytes(to_data(outgoing.bytes));
}

update_part read_part(wire::UpdatePart::Reader source) {
    return {.transfer = source.getTransfer(),
            .offset = source.getOffset(),
            .total = source.getTotal(),
            .bytes = from_data(source.getBytes())};
}

void write_receipt(wire::PartReceipt::Builder target, const part_receipt& outgoing) {
    target.setTransfer(outgoing.transfer);
    target.setReceived(outgoing.received);
}

part_receipt read_receipt(wire::PartReceipt::Reader source) {
    return {.transfer = source.getTransfer(), .received = source.getReceived()};
}

} // namespace chervilturn::internal
