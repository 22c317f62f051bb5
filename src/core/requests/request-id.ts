/**
 * Request ids contain the id of the node that admitted the request. A reconnecting caller
 * sends its last event id, which starts with the request id, and so shows which node to ask first.
 */
import { createId, toId } from '../ids/index.ts'
import type { AnyId, NodeId, RequestId } from '../ids/index.ts'

/** Creates the id of a request that this node admits. */
export function createRequestId (node: NodeId, nowMs: number): RequestId {
  const nodeHex = Buffer.from(node, 'utf8').toString('hex')
  return toId<RequestId>(`req-${nodeHex}-${createId<AnyId>('', nowMs).slice(1)}`)
}

/** Returns the node that admitted a request; undefined when the id doesn't contain it. */
export function admittingNodeOf (request: RequestId): NodeId | undefined {
  const match = /^req-((?:[0-9a-f]{2})+)-/.exec(request)
  return match === null ? undefined : toId<NodeId>(Buffer.from(match[1] ?? '', 'hex').toString('utf8'))
}
