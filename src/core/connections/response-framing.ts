/** Which statuses responses may have, and how responses end. One without a length ends with its connection, whether regularly or by a reset, which undici reports as a regular end, too. */
import { buildConnector } from 'undici'
import type { Socket } from 'node:net'

const noContentStatus = 204
const notModifiedStatus = 304

/** Whether the headers of a response delimit its body; otherwise the end of the connection does. */
export function isSelfDelimited (status: number, headers: Record<string, string | string[] | undefined>): boolean {
  const hasNoBody = status === noContentStatus || status === notModifiedStatus
  return hasNoBody || headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined
}

/** Highest status of a response (RFC 9110, section 15). A response with a higher one is broken, whatever it states. */
export const lastFinalStatus = 599

/** Options of a connector. */
export interface ResetConnectorOptions {
  timeoutMs: number
  onConnected?: () => void
  /** Called when bytes have arrived, before they are parsed. */
  onReadable?: () => void
}

/** Opens the connections of one client, one at a time. */
export interface ResetConnector {
  connect: buildConnector.connector
  /** Whether the connection was reset, or closed by the server while the request was still being written; to be asked at the end of a response without a length only. */
  wasCut: () => boolean
  /** Bytes that have arrived on the connection. */
  receivedBytes: () => number
}

/** Creates the connector of one client. */
export function createResetConnector ({ timeoutMs, onConnected, onReadable }: ResetConnectorOptions): ResetConnector {
  const connect = buildConnector({ timeout: timeoutMs })
  let socket: Socket | undefined
  return {
    connect: (target, opened) => connect(target, (...result) => {
      const [error, connected] = result
      if (error === null) {
        socket = connected
        if (onReadable !== undefined) connected.on('readable', onReadable)
        onConnected?.()
      }
      opened(...result)
    }),
    // The system knows no peer of a socket that was reset. Node.js keeps an address once it was read, so it isn't read before.
    wasCut: () => socket === undefined || socket.writableLength > 0 || socket.remoteAddress === undefined,
    receivedBytes: () => socket?.bytesRead ?? 0
  }
}
