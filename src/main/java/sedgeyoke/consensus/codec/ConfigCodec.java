package sedgeyoke.consensus.codec;

import java.util.Map;
import java.util.TreeMap;
import sedgeyoke.consensus.ConfigDocument;
import sedgeyoke.consensus.ConfigVersion;
import sedgeyoke.transport.proto.ConfigDocumentMessage;
import sedgeyoke.transport.proto.ConfigVersionMessage;
import sedgeyoke.transport.proto.NameRow;
import sedgeyoke.transport.proto.NamesField;
import sedgeyoke.transport.proto.NumberField;
import sedgeyoke.transport.proto.TableField;
import sedgeyoke.transport.proto.TableRow;

/** Converts config documents and versions to and from protobuf messages. Equal documents have equal encodings. */
public final class ConfigCodec {
    private ConfigCodec() {}

    /** Encodes a document, with fields and names in their sorted order. */
    public static ConfigDocumentMessage encode(ConfigDocument document) {
        ConfigDocumentMessage.Builder message = ConfigDocumentMessage.newBuilder();
        document.numbers()
                .forEach((field, value) -> message.addNumbers(
                        NumberField.newBuilder().setField(field).setValue(value)));
        document.tables().forEach((field, rows) -> message.addTables(encodeTable(field, rows)));
        document.names().forEach((field, rows) -> message.addNames(encodeNames(field, rows)));
        return message.build();
    }

    private static TableField.Builder encodeTable(String field, Map<String, Double> rows) {
        TableField.Builder message = TableField.newBuilder().setField(field);
        rows.forEach((name, value) ->
                message.addRows(TableRow.newBuilder().setName(name).setValue(value)));
        return message;
    }

    private static NamesField.Builder encodeNames(String field, Map<String, String> rows) {
        NamesField.Builder message = NamesField.newBuilder().setField(field);
        rows.forEach((name, note) ->
                message.addRows(NameRow.newBuilder().setName(name).setNote(note)));
        return message;
    }

    /** Decodes a document. Keeps fields that the schema of this release does not have. */
    public static ConfigDocument decode(ConfigDocumentMessage message) {
        Map<String, Double> numbers = new TreeMap<>();
        message.getNumbersList().forEach(number -> numbers.put(number.getField(), number.getValue()));
        Map<String, Map<String, Double>> tables = new TreeMap<>();
        for (TableField table : message.getTablesList()) {
            Map<String, Double> rows = tables.computeIfAbsent(table.getField(), field -> new TreeMap<>());
            table.getRowsList().forEach(row -> rows.put(row.getName(), row.getValue()));
        }
        Map<String, Map<String, String>> names = new TreeMap<>();
        for (NamesField field : message.getNamesList()) {
            Map<String, String> rows = names.computeIfAbsent(field.getField(), name -> new TreeMap<>());
            field.getRowsList().forEach(row -> rows.put(row.getName(), row.getNote()));
        }
        return new ConfigDocument(numbers, tables, names);
    }

    /** Encodes a version. */
    public static ConfigVersionMessage encode(ConfigVersion version) {
        return ConfigVersionMessage.newBuilder()
                .setNumber(version.number())
                .setParent(version.parent())
                .setAuthor(version.author())
                .setReason(version.reason())
                .setCreatedAtMs(version.createdAtMillis())
                .setContent(encode(version.content()))
                .build();
    }

    /** Decodes a version. */
    public static ConfigVersion decode(ConfigVersionMessage message) {
        return new ConfigVersion(
                message.getNumber(),
                message.getParent(),
                message.getAuthor(),
                message.getReason(),
                message.getCreatedAtMs(),
                decode(message.getContent()));
    }
}
