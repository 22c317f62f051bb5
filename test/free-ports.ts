/** Ports for nodes whose settings name them in advance. */
import { createServer } from 'node:net'

/** Below the range from which the system takes ports of outgoing connections, and apart from the ports of the soak. */
const firstPort = 30_000
const blockCount = 225
/** The first port of a block stays taken as long as the process lives, so that no other process gets a port of the block. */
const blockPorts = 12
const usablePorts = blockPorts - 1
const host = '127.0.0.1'

/** Listens on a port; returns undefined if another process does. */
function takePort (port: number): Promise<{ release: () => Promise<void> } | undefined> {
  const server = createServer().unref()
  const release = (): Promise<void> => new Promise(resolve => { server.close(() => resolve()) })
  return new Promise(resolve => {
    server.once('error', () => resolve(undefined))
    server.listen(port, host, () => resolve({ release }))
  })
}

async function isFree (port: number): Promise<boolean> {
  const taken = await takePort(port)
  await taken?.release()
  return taken !== undefined
}

/** Reserves consecutive ports for this process and returns the first one. At most `blockPorts - 1`. */
export async function findFreePorts (count: number): Promise<number> {
  if (count > usablePorts) throw new RangeError(`${count} ports are more than the ${usablePorts} of a block`)
  for (;;) {
    const guardPort = firstPort + blockPorts * Math.floor(Math.random() * blockCount)
    const guard = await takePort(guardPort)
    if (guard === undefined) continue
    const free = await Promise.all(Array.from({ length: count }, (_, index) => isFree(guardPort + 1 + index)))
    if (free.every(Boolean)) return guardPort + 1
    await guard.release()
  }
}
