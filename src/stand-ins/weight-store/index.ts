/**
 * A stand-in for the weight store. Concurrent downloads share a maximum rate
 * equally; no bytes are transferred, a download only takes the time.
 */
import express from 'express'
import { createSystemClock } from '../../core/clock/index.ts'
import { startServer } from '../server.ts'
import { versionWeightBytes, weightStoreBytesPerSecond } from '../timings.ts'
import type { ListenOptions } from '../server.ts'

export interface WeightStoreStandInOptions extends ListenOptions {
  /** Total rate of all concurrent downloads. */
  maxBytesPerSecond?: number
  /** Size of every version's weights, in bytes. */
  sizeBytes?: number
}

/** A running stand-in for the weight store. */
export interface WeightStoreStandIn {
  url: string
  /** Simulates one download; `POST /weights/:version/downloads` does the same. */
  download: () => Promise<void>
  stats: () => { downloads: number, maxDownloads: number, finished: number }
  close: () => Promise<void>
}

const updateIntervalMs = 10

export async function createWeightStoreStandIn (options: WeightStoreStandInOptions = {}): Promise<WeightStoreStandIn> {
  const clock = createSystemClock()
  const closeController = new AbortController()
  const maxBytesPerSecond = options.maxBytesPerSecond ?? weightStoreBytesPerSecond
  const sizeBytes = options.sizeBytes ?? versionWeightBytes
  const stats = { downloads: 0, maxDownloads: 0, finished: 0 }

  async function download (): Promise<void> {
    stats.downloads += 1
    stats.maxDownloads = Math.max(stats.maxDownloads, stats.downloads)
    let remainingBytes = sizeBytes
    let updatedAtMs = clock.monotonicMs()
    while (remainingBytes > 0 && !closeController.signal.aborted) {
      await clock.sleep(updateIntervalMs, closeController.signal)
      const nowMs = clock.monotonicMs()
      remainingBytes -= maxBytesPerSecond / stats.downloads * (nowMs - updatedAtMs) / 1000
      updatedAtMs = nowMs
    }
    stats.downloads -= 1
    stats.finished += 1
  }

  const app = express()
  app.get('/status', (_request, response) => { response.json({ downloads: stats.downloads, maxBytesPerSecond }) })
  app.get('/weights/:version', (_request, response) => { response.json({ sizeBytes }) })
  app.post('/weights/:version/downloads', async (_request, response) => {
    await download()
    response.json({ sizeBytes })
  })
  const server = await startServer(app, options)

  return {
    url: server.url,
    download,
    stats: () => ({ ...stats }),
    close: async () => {
      closeController.abort()
      await server.close()
    }
  }
}
