/** Blocks of ports for the nodes of parallel soak runs, each held by one run. */
import { once } from 'node:events'
import { createServer } from 'node:net'

/** Below the ephemeral port range. */
const firstPort = 20_000
const blockSize = 1_000
const blockCount = 10
const host = '127.0.0.1'

/** A block that no other run uses until it is closed. */
export interface PortBlock {
  firstPort: number
  close: () => Promise<void>
}

/** Listens on the last port of a block; undefined if another run does. */
function holdBlock (index: number): Promise<PortBlock | undefined> {
  const blockFirstPort = firstPort + index * blockSize
  return new Promise(resolve => {
    const server = createServer()
    server.once('error', () => resolve(undefined))
    server.listen(blockFirstPort + blockSize - 1, host, () => resolve({
      firstPort: blockFirstPort,
      close: async () => {
        server.close()
        await once(server, 'close')
      }
    }))
  })
}

/** Takes the first block that is free; throws if all are in use. */
export async function takePortBlock (): Promise<PortBlock> {
  for (let index = 0; index < blockCount; index += 1) {
    const block = await holdBlock(index)
    if (block !== undefined) return block
  }
  throw new Error(`All ${blockCount} blocks of ports are in use by other runs of the soak.`)
}
