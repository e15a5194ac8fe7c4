/** JSON and MessagePack mappers shared by clients and servers. */
package io.bilberrygrade.serving.json;
