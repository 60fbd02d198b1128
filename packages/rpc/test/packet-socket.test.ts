import { afterEach, expect, test } from 'vitest'
import { MAX_PACKET_BYTES, PacketSocket } from '../src'

const sockets: PacketSocket[] = []

afterEach(() => {
  for (const socket of sockets.splice(0)) socket.close()
})

async function bind(nodeKey: string, port = 0): Promise<PacketSocket> {
  const socket = (
    await PacketSocket.bind({ host: '127.0.0.1', port, nodeKey, traffic: { packet: () => undefined } })
  )._unsafeUnwrap()
  sockets.push(socket)
  return socket
}

function nextPacket(socket: PacketSocket): Promise<{ content: string; sender: string }> {
  return new Promise((resolve) => {
    socket.listen((content, sender) => {
      resolve({ content: Buffer.from(content).toString(), sender })
    })
  })
}

test.each(['', 'secret'])(
  'a packet arrives whole with the address of its sender, with the node key %j',
  async (key) => {
    const [left, right] = [await bind(key), await bind(key)]
    const received = nextPacket(right)
    left.send(Buffer.from('content'), right.address)
    expect(await received).toEqual({ content: 'content', sender: left.address })
  },
)

test('packets of a sender with another key, without a key or too short for a code are discarded', async () => {
  const receiver = await bind('secret')
  const received = nextPacket(receiver)
  const [stranger, open, member] = [await bind('other'), await bind(''), await bind('secret')]
  stranger.send(Buffer.from('other key'), receiver.address)
  open.send(Buffer.from('a content that is longer than a code'), receiver.address)
  open.send(Buffer.from('short'), receiver.address)
  member.send(Buffer.from('key'), receiver.address)
  expect((await received).content).toBe('key')
})

test('the largest content fits in a packet with its code', async () => {
  expect((await bind('')).maxContentBytes).toBe(MAX_PACKET_BYTES)
  const [left, right] = [await bind('secret'), await bind('secret')]
  const received = nextPacket(right)
  left.send(Buffer.alloc(left.maxContentBytes, 'x'), right.address)
  expect((await received).content).toHaveLength(left.maxContentBytes)
})

test('a port that is in use is reported', async () => {
  const { address } = await bind('')
  const port = Number(address.split(':')[1])
  const second = await PacketSocket.bind({ host: '127.0.0.1', port, nodeKey: '', traffic: { packet: () => undefined } })
  expect(second._unsafeUnwrapErr().code).toBe('addressInUse')
})
